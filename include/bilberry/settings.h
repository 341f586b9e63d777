#ifndef BILBERRY_SETTINGS_H
#define BILBERRY_SETTINGS_H

/* libsettings - reads, merges, checks and prints a folder of settings.
   Link with -lsettings -lyaml.  */

#include "bilberry/settings_types.h"

#include <stddef.h>

/* One file of a settings folder, in memory.  */
struct bb_settings_file
{
  char *name; /* without folder */
  char *data;
  size_t size;
};

/* The files of one revision, sorted by name.  */
struct bb_settings_files
{
  struct bb_settings_file *files;
  size_t count;
};

/* Faults found in a set of files, a line each: "FILE:LINE: what is wrong".
   An empty list means that the files are accepted.  */
struct bb_settings_faults
{
  char **lines;
  size_t count;
};

/* Reads the files of folder DIR whose names end in .yaml.  Returns false and
   adds a fault when the folder cannot be read or holds none.  */
bool bb_settings_files_read (const char *dir, struct bb_settings_files *files,
                             struct bb_settings_faults *faults);
void bb_settings_files_free (struct bb_settings_files *files);

/* Returns a hash of names and contents; equal sets hash alike.  */
uint64_t bb_settings_files_hash (const struct bb_settings_files *files);

/* Merges and checks FILES.  The verdict depends on FILES alone.  Returns NULL
   when there are faults.  */
struct bb_settings *bb_settings_parse (const struct bb_settings_files *files,
                                       struct bb_settings_faults *faults);

/* The same for a program that knows the schemas up to KNOWN.  All programs
   that know the schema which FILES declare give one verdict.  */
struct bb_settings *
bb_settings_parse_for_schema (const struct bb_settings_files *files,
                              uint32_t schema_max,
                              struct bb_settings_faults *faults);
void bb_settings_free (struct bb_settings *s);

/* Prints the merged settings as YAML, each value followed by a comment that
   names its file.  The caller frees the string; NULL when there are faults. */
char *bb_settings_to_yaml (const struct bb_settings_files *files,
                           struct bb_settings_faults *faults);

void bb_settings_faults_free (struct bb_settings_faults *faults);

const struct bb_failure_domain_settings *
bb_settings_failure_domain (const struct bb_settings *s, const char *name);
const struct bb_upstream_settings *
bb_settings_upstream (const struct bb_settings *s, const char *name);
const struct bb_entry_settings *bb_settings_entry (const struct bb_settings *s,
                                                   const char *name);

/* Whether an upstream may receive new work: neither it nor its failure domain
   has been taken out.  */
bool bb_settings_upstream_enabled (const struct bb_settings *s,
                                   const struct bb_upstream_settings *u);

const struct bb_customer_settings *
bb_settings_customer_by_name (const struct bb_settings *s, const char *name);

/* Finds the customer whose key has the SHA-256 KEY_HEX.  */
const struct bb_customer_settings *
bb_settings_customer_by_key (const struct bb_settings *s, const char *key_hex);

/* Finds the route for METHOD and PATH; the longest matching path wins.
 *PATH_KNOWN tells whether some route has the path with another method.  */
const struct bb_route_settings *
bb_settings_route (const struct bb_settings *s, const char *method,
                   size_t method_size, const char *path, size_t path_size,
                   bool *path_known);

/* Splits "ADDRESS:PORT" or "[ADDRESS]:PORT"; ADDRESS is an IP number.  */
struct sockaddr_storage;
bool bb_address_parse (const char *text, struct sockaddr_storage *out);

#endif
