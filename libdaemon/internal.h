#ifndef DAEMON_INTERNAL_H
#define DAEMON_INTERNAL_H

#include "bilberry/daemon.h"
#include "bilberry/member.h"

/* Options of the command line.  */
struct options
{
  char config_dir[4096];
  char name[128];
  uint32_t drain_timeout_ms;
};

/* Parses the command line of PROGRAM into O and sets level and format of the
   log.  Returns -1 to continue; otherwise the status to exit with, 0 after
   --help and --version and 2 after a usage error.  */
int options_parse (int argc, char **argv, const char *program,
                   struct options *o);

/* A source of settings revisions.  */
struct source_ops
{
  const char *name; /* shown in /status */
  /* Starts to watch for revisions.  Returns false on failure.  */
  bool (*open) (struct bb_daemon *d);
  /* Looks for changes at once.  NULL where changes arrive by watch request and
     gossip, so that nothing has to be read again.  */
  void (*reload) (struct bb_daemon *d);
};

extern const struct source_ops folder_source;
extern const struct source_ops service_source;

/* config.c */

/* Reads the settings folder, starts gossip, the source of settings and the
   polling of the VM list, and runs the loop until a revision is active.
   Returns false on failure.  */
bool config_open (struct bb_daemon *d);

/* Returns the name of the source; "none" before config_open chooses one.  */
const char *config_source_name (void);

/* Returns the address of the platform's service NAME in S; NULL for none.  */
const char *config_platform_address (const struct bb_settings *s,
                                     const char *name);

/* vms.c */

/* Starts polling the platform's list of VMs.  Does nothing where the settings
   name no such list or gossip is off.  Returns false on a bad address.  */
bool vms_open (struct bb_daemon *d);

/* folder.c */

/* Reads the first settings from the settings folder, without a revision.  Logs
   their faults.  Returns false when there are any.  */
bool folder_load_initial (struct bb_daemon *d);

/* service.c */

/* Returns whether the settings name a configuration service.  */
bool service_is_configured (const struct bb_daemon *d);

/* settings.c */

/* Replaces the active settings by S, whose files have HASH, as REVISION.
   Takes over S and frees the old settings.  */
void settings_activate (struct bb_daemon *d, struct bb_settings *s,
                        uint64_t hash, uint64_t revision);

/* Counts and logs the rejection of settings with FAULTS, at least one.  The
   active settings stay.  */
void settings_reject (struct bb_daemon *d,
                      const struct bb_settings_faults *faults);

void settings_log_faults (const struct bb_daemon *d,
                          const struct bb_settings_faults *faults);

/* fileset.c */

/* Encodes FILES as a byte string and sets *SIZE to its bytes.  The caller
   frees it.  */
char *fileset_pack (const struct bb_settings_files *files, size_t *size);

/* Decodes the SIZE bytes at DATA, as fileset_pack made them, into FILES.
   Returns false when they are malformed or hold no file.  The caller frees
   FILES by bb_settings_files_free in both cases.  */
bool fileset_unpack (const char *data, size_t size,
                     struct bb_settings_files *files);

/* gossip.c */

/* Joins the group of members over UDP and sets the members of D.  Leaves them
   NULL where the settings have no peer key or no peer address of this process.
   Returns false after a log line when the socket cannot be opened.  */
bool gossip_open (struct bb_daemon *d);

/* Applies the active settings to the directory of members and the keys.  */
void gossip_reconfigure (struct bb_daemon *d);

/* Compares whether the VM list has the member with ROLE and NAME (LISTED) with
   whether gossip takes it for alive or suspect.  Probes the member next where
   they differ.  */
void gossip_check_listed (struct bb_daemon *d, enum bb_role role,
                          const char *name, bool listed);

/* Announces to the peers that this process leaves.  */
void gossip_leave (struct bb_daemon *d);

/* Adds the state of membership to OUT, the JSON object of /status.  */
void gossip_add_status (struct bb_daemon *d, json_t *out);

/* operator.c */

/* Opens the operator listener at ADDRESS.  Returns false on failure.  */
bool operator_open (struct bb_daemon *d, const char *address);

#endif
