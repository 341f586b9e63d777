#include "fake.h"

#include "bilberry/settings.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  OPTIONS_MAX = 12,
  BODY_MAX_BYTES = 16 * 1024 * 1024,
  READ_TIMEOUT_MS = 60000
};

static int
parse_options (int argc, char **argv, struct fake_option *options,
               struct sockaddr_storage *addr)
{
  struct arg_str *address
      = arg_str1 (NULL, "address", "ADDRESS:PORT", "address to listen on");
  struct arg_int *ints[OPTIONS_MAX];
  void *table[OPTIONS_MAX + 2] = { address };
  struct arg_end *end = arg_end (8);
  int count = 0;
  int rc = 0;

  for (; options[count].name; count++)
    {
      ints[count]
          = arg_int0 (NULL, options[count].name, "N", options[count].help);
      ints[count]->ival[0] = options[count].value;
      table[count + 1] = ints[count];
    }
  table[count + 1] = end;
  if (arg_parse (argc, argv, table) > 0
      || !bb_address_parse (address->sval[0], addr))
    {
      arg_print_errors (stderr, end, argv[0]);
      fprintf (stderr, "Usage: %s", argv[0]);
      arg_print_syntax (stderr, table, "\n");
      rc = 2;
    }
  for (int i = 0; i < count; i++)
    options[i].value = ints[i]->ival[0];
  arg_freetable (table, (size_t)count + 2);
  return rc;
}

static void
on_signal (uv_signal_t *s, int number)
{
  (void)number;
  uv_stop (s->loop);
}

int
fake_main (int argc, char **argv, struct fake_option *options,
           bb_http_handler *handler, void *arg)
{
  struct bb_http_options o = { .body_max_bytes = BODY_MAX_BYTES,
                               .read_timeout_ms = READ_TIMEOUT_MS };
  uv_loop_t *loop = uv_default_loop ();
  struct sockaddr_storage addr;
  uv_signal_t term;
  int error = parse_options (argc, argv, options, &addr);

  if (error)
    return error;
  if (!bb_http_server_open (loop, &addr, &o, handler, arg, &error))
    {
      fprintf (stderr, "%s: cannot listen: %s\n", argv[0],
               uv_strerror (error));
      return 1;
    }
  uv_signal_init (loop, &term);
  uv_signal_start (&term, on_signal, SIGTERM);
  printf ("ready\n");
  fflush (stdout);
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}

static struct bb_header common_header;
static char common_value[32];

void
fake_set_header (const char *name, const char *value)
{
  snprintf (common_value, sizeof common_value, "%s", value);
  common_header.name = bb_bytes_of (name);
  common_header.value = bb_bytes_of (common_value);
}

static void
respond (struct bb_http_request *r, uint16_t status, const char *type,
         const char *text)
{
  struct bb_header h[2] = { { .name = bb_bytes_of ("content-type"),
                              .value = bb_bytes_of (type) },
                            common_header };

  bb_http_respond (r, status, h, common_header.name.size > 0 ? 2 : 1,
                   bb_bytes_of (text));
}

void
fake_respond_json (struct bb_http_request *r, uint16_t status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_PRESERVE_ORDER);

  respond (r, status, "application/json", text);
  free (text);
  json_decref (json);
}

void
fake_respond_text (struct bb_http_request *r, uint16_t status,
                   const char *text)
{
  respond (r, status, "text/plain", text);
}
