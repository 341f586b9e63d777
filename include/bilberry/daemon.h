#ifndef BILBERRY_DAEMON_H
#define BILBERRY_DAEMON_H

/* libdaemon - what the daemons share: command line, settings in force,
   operator listener, signals and graceful shutdown.  Link with -ldaemon -lnet
   -lsettings -largtable2 -ljansson.  */

#include "bilberry/net.h"
#include "bilberry/settings.h"

#include <jansson.h>

struct bb_daemon;
struct bb_members;

/* What a program does with the shared parts.  */
struct bb_daemon_ops
{
  const char *program; /* such as "bilberry-entry" */
  const char *part;    /* prefix of its log lines */
  enum bb_role role;
  /* Finds its own addresses in the first settings; false with a log line
     when they are not there.  OPERATOR may be left empty.  */
  bool (*start) (struct bb_daemon *d, const char **operator_address);
  /* New settings are in force; OLD is freed after the call.  */
  void (*on_settings) (struct bb_daemon *d, const struct bb_settings *old);
  /* Takes no new work from now on.  */
  void (*on_drain) (struct bb_daemon *d);
  /* Returns how many requests are in flight or have answers unsent.  A
     draining daemon ends when there are none.  */
  uint32_t (*in_flight) (struct bb_daemon *d);
  /* Adds its part to the JSON of /status.  */
  void (*status) (struct bb_daemon *d, json_t *out);
};

struct bb_daemon
{
  uv_loop_t *loop;
  const struct bb_daemon_ops *ops;
  const char *name; /* own name in the settings */
  const char *config_dir;
  struct bb_settings *settings;
  uint64_t settings_hash;   /* of the files in force */
  uint64_t revision;        /* in force; 0: only the folder of the start */
  int64_t in_force_unix_ms; /* when the revision came in force */
  bool revision_is_local;   /* the revision means nothing to other processes */
  uint64_t rejected_count;  /* changes refused since the start */
  char rejected_reason[512];  /* first fault of the last refused change */
  uint64_t incarnation;       /* drawn at start */
  bool started;               /* the program has its first settings */
  struct bb_members *members; /* NULL where no key is configured */
  bool draining;
  uint32_t drain_timeout_ms; /* longest graceful shutdown */
  void *user;
};

/* Runs a daemon to its end.  Returns its exit status: 0 after a graceful
   shutdown, 1 on a fault or after cutting requests, 2 on bad usage.  */
int bb_daemon_main (int argc, char **argv, const struct bb_daemon_ops *ops,
                    void *user);

/* Reads the settings again now, as after a pause of the process.  */
void bb_daemon_reload_settings (struct bb_daemon *d);

/* Draws a random 64-bit number that is not 0.  */
uint64_t bb_random_id (void);

/* Sends JSON and drops the reference to it.  */
void bb_http_respond_json (struct bb_http_request *r, uint16_t status,
                           const char *content_type, json_t *json);

#endif
