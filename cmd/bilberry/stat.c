/* bilberry stat - prints the status of a running process as plain text, from
   GET /status of its operator listener.  */

#include "commands.h"

#include "bilberry/daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TIMEOUT_MS = 5000,
  RESPONSE_MAX_BYTES = 64 * 1024 * 1024
};

/* The response to the request.  */
struct fetch
{
  uint16_t status;
  char *body;
  size_t size;
  char error[128]; /* text of the error; "" if there was none */
};

static void
on_response (const char *error, uint16_t status, struct bb_bytes body,
             void *user)
{
  struct fetch *f = user;

  f->status = status;
  f->body = bb_bytes_strdup (body);
  f->size = body.size;
  if (error)
    snprintf (f->error, sizeof f->error, "%s", error);
  uv_stop (uv_default_loop ());
}

static bool
fetch_status (const char *address, struct fetch *f)
{
  struct sockaddr_storage addr;
  struct bb_http_client *client;

  if (!bb_address_parse (address, &addr))
    {
      fprintf (stderr,
               "bilberry: bad address '%s'; expected IP-ADDRESS:PORT\n",
               address);
      return false;
    }
  client = bb_http_client_new (uv_default_loop (), &addr, address, TIMEOUT_MS);
  bb_http_fetch (client, "GET", "/status", bb_bytes_of (NULL),
                 RESPONSE_MAX_BYTES, on_response, f);
  uv_run (uv_default_loop (), UV_RUN_DEFAULT);
  if (f->status == 200 && !*f->error)
    return true;
  fprintf (stderr, "bilberry: no status from %s: %s\n", address,
           *f->error ? f->error : "response status is not 200");
  return false;
}

static void
print_value (const json_t *value)
{
  if (json_is_string (value))
    printf ("%s", json_string_value (value));
  else
    json_dumpf (value, stdout, JSON_ENCODE_ANY | JSON_COMPACT);
}

/* Prints one line for each item of LIST, as KEY=VALUE pairs.  */
static void
print_list (const char *name, const json_t *list)
{
  size_t i;
  json_t *item;
  const char *key;
  json_t *value;

  printf ("%s:\n", name);
  json_array_foreach (list, i, item)
  {
    putchar (' ');
    json_object_foreach (item, key, value)
    {
      printf (" %s=", key);
      print_value (value);
    }
    putchar ('\n');
  }
}

int
command_stat (int argc, char **argv)
{
  struct fetch f = { 0 };
  json_t *status = NULL;
  const char *key;
  json_t *value;
  int rc = 1;

  if (argc != 2)
    {
      fputs ("Usage: bilberry stat ADDRESS:PORT\n", stderr);
      return 2;
    }
  if (!fetch_status (argv[1], &f))
    goto out;
  status = json_loadb (f.body, f.size, 0, NULL);
  if (!json_is_object (status))
    {
      fprintf (stderr, "bilberry: the status of %s is not JSON\n", argv[1]);
      goto out;
    }
  json_object_foreach (status, key, value)
  {
    if (json_is_array (value))
      {
        print_list (key, value);
        continue;
      }
    printf ("%s: ", key);
    print_value (value);
    putchar ('\n');
  }
  rc = 0;
out:
  json_decref (status);
  free (f.body);
  return rc;
}
