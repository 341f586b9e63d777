/* bilberry check DIR, bilberry show - check a settings folder; print its
   merged settings.  */

#include "commands.h"

#include "bilberry/settings.h"

#include <stdio.h>
#include <stdlib.h>

static void
print_faults (const struct bb_settings_faults *faults)
{
  for (size_t i = 0; i < faults->count; i++)
    fprintf (stderr, "%s\n", faults->lines[i]);
}

int
check_settings_folder (const char *path)
{
  struct bb_settings_files files = { 0 };
  struct bb_settings_faults faults = { 0 };
  struct bb_settings *s = NULL;
  int rc;

  if (bb_settings_files_read (path, &files, &faults))
    s = bb_settings_parse (&files, &faults);
  print_faults (&faults);
  rc = s ? 0 : 1;
  bb_settings_free (s);
  bb_settings_files_free (&files);
  bb_settings_faults_free (&faults);
  return rc;
}

int
command_show (int argc, char **argv)
{
  struct bb_settings_files files = { 0 };
  struct bb_settings_faults faults = { 0 };
  char *text = NULL;
  int rc;

  if (argc != 2)
    {
      fputs ("Usage: bilberry show DIR\n", stderr);
      return 2;
    }
  if (bb_settings_files_read (argv[1], &files, &faults))
    text = bb_settings_to_yaml (&files, &faults);
  print_faults (&faults);
  if (text)
    fputs (text, stdout);
  rc = text ? 0 : 1;
  free (text);
  bb_settings_files_free (&files);
  bb_settings_faults_free (&faults);
  return rc;
}
