#ifndef FAKE_H
#define FAKE_H

/* Options, HTTP listener and responses, shared by the stand-ins for outside
   systems in fake/.  */

#include "bilberry/net.h"

#include <jansson.h>

/* An option that takes an integer.  */
struct fake_option
{
  const char *name;
  const char *help;
  int value; /* default, replaced by the command line */
};

/* Parses --address and OPTIONS, which end with an entry whose name is NULL,
   and sets their values.  Then listens, prints "ready" to standard output and
   calls HANDLER with ARG for each request until SIGTERM.  Returns the exit
   status: 0 after SIGTERM, 1 if it cannot listen, 2 for bad usage.  */
int fake_main (int argc, char **argv, struct fake_option *options,
               bb_http_handler *handler, void *arg);

/* Sets a header NAME of all responses from now on, in place of one that was
   set before.  NAME must stay valid; VALUE is copied, up to 31 bytes of it. */
void fake_set_header (const char *name, const char *value);

/* Responds to R with STATUS and JSON as the body; releases the reference to
   JSON.  */
void fake_respond_json (struct bb_http_request *r, uint16_t status,
                        json_t *json);

/* Responds to R with STATUS and TEXT as a text/plain body.  */
void fake_respond_text (struct bb_http_request *r, uint16_t status,
                        const char *text);

#endif
