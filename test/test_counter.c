/* Tests of the counters of libbase.  */

#include "bilberry/base.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A counter with long labels is one counter, whose labels are printed whole.
 */
static void
test_long_labels (void)
{
  g_autofree char *value = g_strnfill (200, 'x');
  g_autofree char *labels = g_strdup_printf ("name=\"%s\"", value);
  g_autofree char *line = g_strdup_printf ("long_total{%s} 2\n", labels);
  char *text;

  for (uint32_t i = 0; i < 2; i++)
    bb_counter ("long_total", labels)->value++;
  text = bb_metrics_format ();
  g_test_message ("%s", text);
  g_assert_nonnull (strstr (text, line));
  free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/counter/long-labels", test_long_labels);
  return g_test_run ();
}
