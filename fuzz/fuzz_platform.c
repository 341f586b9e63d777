/* Fuzz target: the decoders of the platform's formats.  The first byte of the
   input selects the decoder, which gets the rest.  */

#include "bilberry/platform.h"

#include <stdlib.h>
#include <string.h>

enum
{
  PLACES = 11,
  ROWS_MAX = 128,
  DECODERS = 7
};

/* The name is given by libFuzzer.  */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size); // NOLINT

static void
decode_item (const uint8_t *data, size_t size, bool config)
{
  GBytes *value = g_bytes_new (data, size);
  const char *why = NULL;

  if (config)
    {
      struct bb_config *c = bb_config_decode (value, 1, &why);
      g_assert_true (c || why);
      bb_config_unref (c);
    }
  else
    {
      struct bb_upstream *u = bb_upstream_decode ("i-1", value, 1, &why);
      g_assert_true (u || why);
      bb_upstream_free (u);
    }
  g_bytes_unref (value);
}

static void
decode_settings (const uint8_t *data, size_t size)
{
  char *why = NULL;
  struct bb_process_settings *s
      = bb_process_settings_parse ((const char *)data, size, &why);

  g_assert_true (s || why);
  bb_process_settings_free (s);
  g_free (why);
}

static void
decode_headers (struct bb_bytes text)
{
  struct bb_h1_message m = { .status = 503, .headers_count = 6 };
  struct bb_header out[BB_FORWARD_HEADERS_MAX];
  struct bb_forward_options options
      = { .upstream_id = "i-1", .remaining_ms = 5 };
  char numbers[BB_HEADER_TEXT_BYTES];
  struct bb_request_info request;
  struct bb_response_info response;
  uint64_t id;

  m.headers[0] = (struct bb_header){ bb_bytes_of ("Connection"), text };
  m.headers[1] = (struct bb_header){ bb_bytes_of ("X-Token-Counts"), text };
  m.headers[2] = (struct bb_header){ text, text };
  m.headers[3] = (struct bb_header){ bb_bytes_of ("X-Prefix-Hash"), text };
  m.headers[4] = (struct bb_header){ bb_bytes_of ("Retry-After"), text };
  m.headers[5] = (struct bb_header){ bb_bytes_of ("Server-Leaving"), text };
  bb_request_info_decode (&m, &request);
  bb_response_info_decode (&m, text, &response);
  if (response.rest_ms < 0 || response.rest_ms > BB_REST_MAX_MS)
    abort ();
  bb_forward_headers (&m, &options, out, numbers);
  bb_sse_event_id (text, &id);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) // NOLINT
{
  struct bb_bytes rest = { NULL, 0 };
  struct bb_rank_report report;
  struct bb_expert_counts counts;
  uint16_t rows[ROWS_MAX];
  uint64_t version;
  uint32_t count;

  if (size < 1)
    return 0;
  rest.ptr = (const char *)data + 1;
  rest.size = (uint32_t)size - 1;
  switch (data[0] % DECODERS)
    {
    case 0:
      decode_item (data + 1, size - 1, true);
      break;
    case 1:
      decode_item (data + 1, size - 1, false);
      break;
    case 2:
      decode_settings (data + 1, size - 1);
      break;
    case 3:
      decode_headers (rest);
      break;
    case 4:
      bb_rank_report_decode (rest, &report);
      break;
    case 5:
      bb_expert_counts_decode (rest, &counts);
      free (counts.values);
      break;
    default:
      bb_map_rows_decode (rest, &version, rows, ROWS_MAX, PLACES, &count);
    }
  return 0;
}
