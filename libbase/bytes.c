/* Byte strings that are not null-terminated.  */

#include "bilberry/base.h"

#include <stdlib.h>
#include <string.h>

bool
bb_bytes_equal (struct bb_bytes bytes, const char *text)
{
  size_t size = strlen (text);

  return bytes.size == size
         && (size == 0 || memcmp (bytes.ptr, text, size) == 0);
}

struct bb_bytes
bb_bytes_of (const char *text)
{
  struct bb_bytes b = { .ptr = text, .size = 0 };

  if (text)
    b.size = (uint32_t)strlen (text);
  return b;
}

char *
bb_bytes_strdup (struct bb_bytes bytes)
{
  char *text = calloc (1, (size_t)bytes.size + 1);

  if (!text)
    abort ();
  if (bytes.size > 0)
    memcpy (text, bytes.ptr, bytes.size);
  return text;
}
