/* Reads the files of a settings folder and hashes them.  */

#include "table.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static int
is_settings_file (const struct dirent *d)
{
  size_t n = strlen (d->d_name);

  return d->d_name[0] != '.' && n > 5
         && strcmp (d->d_name + n - 5, ".yaml") == 0;
}

static bool
read_file (const char *dir, const char *name, struct bb_settings_file *file)
{
  char path[4096];
  FILE *in;
  FILE *content;
  char buf[8192];
  size_t n;
  bool read_whole;

  snprintf (path, sizeof path, "%s/%s", dir, name);
  in = fopen (path, "r");
  if (!in)
    return false;
  content = open_memstream (&file->data, &file->size);
  while ((n = fread (buf, 1, sizeof buf, in)) > 0)
    fwrite (buf, 1, n, content);
  read_whole = !ferror (in);
  fclose (content);
  fclose (in);
  file->name = strdup (name);
  return read_whole;
}

bool
bb_settings_files_read (const char *dir, struct bb_settings_files *files,
                        struct bb_settings_faults *faults)
{
  struct dirent **entries = NULL;
  int n = scandir (dir, &entries, is_settings_file, alphasort);
  size_t faults_before = faults->count;

  files->files = NULL;
  files->count = 0;
  if (n < 0)
    {
      bb_settings_faults_add (faults, dir, 0, "cannot read the folder: %s",
                              strerror (errno));
      return false;
    }
  if (n == 0)
    bb_settings_faults_add (
        faults, dir, 0, "the folder holds no file whose name ends in .yaml");
  files->files = calloc ((size_t)n + 1, sizeof *files->files);
  for (int i = 0; i < n; i++)
    {
      if (!read_file (dir, entries[i]->d_name, &files->files[files->count++]))
        bb_settings_faults_add (faults, entries[i]->d_name, 0,
                                "cannot read the file: %s", strerror (errno));
      free (entries[i]);
    }
  free (entries);
  return faults->count == faults_before;
}

void
bb_settings_files_free (struct bb_settings_files *files)
{
  for (size_t i = 0; i < files->count; i++)
    {
      free (files->files[i].name);
      free (files->files[i].data);
    }
  free (files->files);
  files->files = NULL;
  files->count = 0;
}

uint64_t
bb_settings_files_hash (const struct bb_settings_files *files)
{
  uint64_t hash = 0;

  for (size_t i = 0; i < files->count; i++)
    {
      const struct bb_settings_file *f = &files->files[i];
      hash = XXH64 (f->name, strlen (f->name) + 1, hash);
      hash = XXH64 (f->data, f->size, hash);
    }
  return hash;
}
