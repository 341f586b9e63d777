/* Fuzz target: the reader of settings.  The input is one settings file, or two
   that are separated by the first zero byte.  If the files are accepted, the
   merged settings that bb_settings_to_yaml prints must be accepted too; if
   they are rejected, there must be an error message.  */

#include "bilberry/settings.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* The name is fixed by libFuzzer.
   NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_round_trip (const struct bb_settings_files *files)
{
  struct bb_settings_faults faults = { 0 };
  char *shown = bb_settings_to_yaml (files, &faults);
  struct bb_settings_file file = { .name = "shown.yaml", .data = shown };
  struct bb_settings_files again = { .files = &file, .count = 1 };
  struct bb_settings *s;

  if (!shown && faults.count == 0)
    abort ();
  if (shown)
    {
      file.size = strlen (shown);
      s = bb_settings_parse (&again, &faults);
      if (!s)
        abort ();
      bb_settings_free (s);
    }
  free (shown);
  bb_settings_faults_free (&faults);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const uint8_t *zero = size > 0 ? memchr (data, 0, size) : NULL;
  size_t first = zero ? (size_t)(zero - data) : size;
  struct bb_settings_file list[2] = {
    { .name = "1.yaml", .data = (char *)data, .size = first },
    { .name = "2.yaml" },
  };
  struct bb_settings_files files = { .files = list, .count = zero ? 2 : 1 };

  if (zero)
    {
      list[1].data = (char *)zero + 1;
      list[1].size = size - first - 1;
    }
  check_round_trip (&files);
  return 0;
}
