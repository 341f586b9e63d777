#ifndef BILBERRY_DAEMON_H
#define BILBERRY_DAEMON_H

/* libdaemon - what the daemons share: command line, active settings, operator
   listener, signals and graceful shutdown.  Link with -ldaemon -lnet
   -lsettings -largtable2 -ljansson.

   Settings are read from the settings folder at the start.  Later revisions
   come from that folder or, where the settings name a configuration service,
   from that service and from peers by gossip.  A revision with faults is
   rejected and the active one stays.  */

#include "bilberry/net.h"
#include "bilberry/settings.h"

#include <jansson.h>

struct bb_daemon;
struct bb_members;

/* Describes a program to libdaemon, with its callbacks.  */
struct bb_daemon_ops
{
  const char *program; /* such as "bilberry-entry" */
  const char *part;    /* names the program in its log lines */
  enum bb_role role;
  /* Starts the program with the first settings, which are in D.  Sets
     *OPERATOR_ADDRESS to the address of the operator listener, or leaves it
     NULL for none.  Returns false after a log line on failure, such as
     settings without an address for this process.  */
  bool (*start) (struct bb_daemon *d, const char **operator_address);
  /* Applies the settings of D, which have just replaced OLD.  OLD is freed
     after the call.  Not called before START has succeeded.  */
  void (*on_settings) (struct bb_daemon *d, const struct bb_settings *old);
  /* Stops accepting new work: a graceful shutdown has begun.  */
  void (*on_drain) (struct bb_daemon *d);
  /* Returns how much work is left: requests in flight or queued, and responses
     not sent completely.  A draining daemon exits when it is 0.  */
  uint32_t (*in_flight) (struct bb_daemon *d);
  /* Adds the status of the program to OUT, the JSON object of /status.  */
  void (*status) (struct bb_daemon *d, json_t *out);
};

/* State of a running daemon.  */
struct bb_daemon
{
  uv_loop_t *loop;
  const struct bb_daemon_ops *ops;
  const char *name; /* name of this process in the settings */
  const char *config_dir;
  struct bb_settings *settings;
  uint64_t settings_hash; /* hash of the active settings files */
  /* The active revision.  0 until a source gives the first one: the settings
     are then those of the settings folder at the start.  */
  uint64_t revision;
  /* Unix time at which the revision became active; 0 for settings that were
     read at the start.  */
  int64_t in_force_unix_ms;
  /* Whether this process numbers its revisions itself, so that they mean
     nothing to other processes.  */
  bool revision_is_local;
  uint64_t rejected_count; /* settings rejected since the start */
  /* First fault of the settings that were rejected last; empty after later
     ones became active.  */
  char rejected_reason[512];
  uint64_t incarnation; /* random id of this run of the process */
  bool started;         /* the start callback has succeeded */
  /* Membership by gossip; NULL where the first settings have no peer key or no
     peer address of this process.  */
  struct bb_members *members;
  bool draining;             /* a graceful shutdown has begun */
  uint32_t drain_timeout_ms; /* maximum time of a graceful shutdown */
  void *user;                /* argument of bb_daemon_main */
};

/* Runs the daemon that OPS describes with the command line ARGC and ARGV until
   SIGTERM or SIGINT has shut it down.  USER becomes bb_daemon.user.  Returns
   the exit status: 0 after a graceful shutdown, --help or --version; 1 when
   the start failed or the shutdown aborted requests; 2 on bad usage.  */
int bb_daemon_main (int argc, char **argv, const struct bb_daemon_ops *ops,
                    void *user);

/* Reads the settings folder of D at once and applies changes, for use after
   the process was paused.  Does nothing with a configuration service, whose
   revisions arrive by watch request and gossip.  */
void bb_daemon_reload_settings (struct bb_daemon *d);

/* Returns a random 64-bit number other than 0.  Aborts the process when the
   random generator fails.  */
uint64_t bb_random_id (void);

/* Responds to R with STATUS, CONTENT_TYPE and JSON as the body.  Takes over
   the caller's reference to JSON.  */
void bb_http_respond_json (struct bb_http_request *r, uint16_t status,
                           const char *content_type, json_t *json);

#endif
