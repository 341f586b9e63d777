#ifndef DAEMON_INTERNAL_H
#define DAEMON_INTERNAL_H

#include "bilberry/daemon.h"
#include "bilberry/member.h"

/* What the command line gave.  */
struct options
{
  char config_dir[4096];
  char name[128];
  uint32_t drain_timeout_ms;
};

/* Parses the command line.  Returns -1 to go on, else the exit status.  */
int options_parse (int argc, char **argv, const char *program,
                   struct options *o);

/* Where settings come from.  */
struct source_ops
{
  const char *name;
  /* Starts to watch; false with a log line on a fault.  */
  bool (*open) (struct bb_daemon *d);
  /* Looks again at once; NULL where peers and the watch tell in time.  */
  void (*reload) (struct bb_daemon *d);
};

extern const struct source_ops folder_source;
extern const struct source_ops service_source;

/* config.c */

/* Reads the folder, starts gossip and the source, and waits until a revision
   is in force; false with log lines on faults.  */
bool config_open (struct bb_daemon *d);
const char *config_source_name (void);

/* Finds the address of the platform's service NAME; NULL for none.  */
const char *config_platform_address (const struct bb_settings *s,
                                     const char *name);

/* vms.c */
bool vms_open (struct bb_daemon *d);

/* folder.c */
bool folder_load_initial (struct bb_daemon *d);

/* service.c */
bool service_is_configured (const struct bb_daemon *d);

/* settings.c */
void settings_activate (struct bb_daemon *d, struct bb_settings *s,
                        uint64_t hash, uint64_t revision);
void settings_reject (struct bb_daemon *d,
                      const struct bb_settings_faults *faults);
void settings_log_faults (const struct bb_daemon *d,
                          const struct bb_settings_faults *faults);

/* fileset.c */

/* Makes one run of bytes of FILES; the caller frees it.  */
char *fileset_pack (const struct bb_settings_files *files, size_t *size);

/* The reverse; the caller frees FILES also when the bytes are malformed.  */
bool fileset_unpack (const char *data, size_t size,
                     struct bb_settings_files *files);

/* gossip.c */
bool gossip_open (struct bb_daemon *d);

/* Makes peers and keys fit the settings in force.  */
void gossip_reconfigure (struct bb_daemon *d);
/* Compares what the VM list says of a member with what gossip says; where they
   differ the member is probed next.  */
void gossip_check_listed (struct bb_daemon *d, enum bb_role role,
                          const char *name, bool listed);
void gossip_leave (struct bb_daemon *d);
void gossip_add_status (struct bb_daemon *d, json_t *out);

/* Opens the operator listener at ADDRESS.  */
bool operator_open (struct bb_daemon *d, const char *address);

#endif
