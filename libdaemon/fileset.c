/* Encodes a set of settings files as one byte string: for each file the sizes
   of its name and its content as 32-bit big-endian numbers, then the name and
   the content.  Equal sets in the same order give equal bytes.  */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

enum
{
  HEADER_BYTES = 8,
  FILES_MAX = 4096
};

static void
put_u32 (char *at, uint32_t v)
{
  for (uint32_t i = 0; i < 4; i++)
    at[i] = (char)(v >> (8 * (3 - i)));
}

static uint32_t
get_u32 (const char *at)
{
  const uint8_t *p = (const uint8_t *)at;

  return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8
         | (uint32_t)p[3];
}

char *
fileset_pack (const struct bb_settings_files *files, size_t *size)
{
  char *out;
  size_t at = 0;

  *size = 0;
  for (size_t i = 0; i < files->count; i++)
    *size
        += HEADER_BYTES + strlen (files->files[i].name) + files->files[i].size;
  out = malloc (*size ? *size : 1);
  for (size_t i = 0; i < files->count; i++)
    {
      const struct bb_settings_file *f = &files->files[i];
      size_t name_size = strlen (f->name);
      put_u32 (out + at, (uint32_t)name_size);
      put_u32 (out + at + 4, (uint32_t)f->size);
      memcpy (out + at + HEADER_BYTES, f->name, name_size);
      memcpy (out + at + HEADER_BYTES + name_size, f->data, f->size);
      at += HEADER_BYTES + name_size + f->size;
    }
  return out;
}

static char *
copy_text (const char *at, size_t size)
{
  char *text = malloc (size + 1);

  memcpy (text, at, size);
  text[size] = '\0';
  return text;
}

bool
fileset_unpack (const char *data, size_t size, struct bb_settings_files *files)
{
  size_t at = 0;

  files->files = calloc (FILES_MAX, sizeof *files->files);
  files->count = 0;
  while (size - at >= HEADER_BYTES && files->count < FILES_MAX)
    {
      size_t name_size = get_u32 (data + at);
      size_t data_size = get_u32 (data + at + 4);
      struct bb_settings_file *f = &files->files[files->count];
      at += HEADER_BYTES;
      if (name_size > size - at || data_size > size - at - name_size)
        return false;
      f->name = copy_text (data + at, name_size);
      f->data = copy_text (data + at + name_size, data_size);
      f->size = data_size;
      files->count++;
      at += name_size + data_size;
    }
  return at == size && files->count > 0;
}
