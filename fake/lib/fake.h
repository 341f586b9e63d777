#ifndef FAKE_H
#define FAKE_H

/* What the stand-ins share: options and the HTTP listener.  */

#include "bilberry/net.h"

#include <jansson.h>

/* An option that takes a number.  */
struct fake_option
{
  const char *name;
  const char *help;
  int value; /* default, replaced by the command line */
};

/* Parses --address and OPTIONS (ended by a NULL name), listens, prints
   "ready" and runs until SIGTERM.  Returns the exit status.  */
int fake_main (int argc, char **argv, struct fake_option *options,
               bb_http_handler *handler, void *arg);

/* Answers with JSON and drops the reference to it.  */
void fake_respond_json (struct bb_http_request *r, uint16_t status,
                        json_t *json);

/* Answers with a status and a short text.  */
void fake_respond_text (struct bb_http_request *r, uint16_t status,
                        const char *text);

#endif
