#ifndef BILBERRY_SETTINGS_H
#define BILBERRY_SETTINGS_H

/* libsettings - reads, merges, validates and prints a settings folder.
   Link with -lsettings -lyaml.

   A settings folder holds YAML files.  They are merged in the order of their
   names: mappings merge by key, any other value in a later file replaces the
   earlier one.  bilberry-settings(5) describes the sections and fields.  */

#include "bilberry/settings_types.h"

#include <stddef.h>

/* The content of one file of a settings folder.  */
struct bb_settings_file
{
  char *name; /* name without the folder */
  char *data;
  size_t size; /* size of data in bytes */
};

/* All files of a settings folder, sorted by name.  */
struct bb_settings_files
{
  struct bb_settings_file *files;
  size_t count;
};

/* Errors in a set of files, one string for each: "FILE:LINE: MESSAGE", or
   "FILE: MESSAGE" for an error without a line.  Starts out zeroed; the
   functions below append to it.  */
struct bb_settings_faults
{
  char **lines;
  size_t count;
};

/* Reads the files of folder DIR whose names end in .yaml and do not begin with
   a dot into FILES.  Returns false and adds to FAULTS if the folder or one of
   the files cannot be read, or if there is no such file.  The caller frees
   FILES by bb_settings_files_free in either case.  */
bool bb_settings_files_read (const char *dir, struct bb_settings_files *files,
                             struct bb_settings_faults *faults);

/* Frees the content of FILES, not FILES itself, and leaves it empty.  */
void bb_settings_files_free (struct bb_settings_files *files);

/* Returns a 64-bit hash of the names and contents of FILES.  */
uint64_t bb_settings_files_hash (const struct bb_settings_files *files);

/* Merges and validates FILES.  Returns the settings, which the caller frees by
   bb_settings_free, or NULL after adding at least one error to FAULTS.  The
   result depends on FILES alone.  */
struct bb_settings *bb_settings_parse (const struct bb_settings_files *files,
                                       struct bb_settings_faults *faults);

/* Like bb_settings_parse, for a program that supports the schema versions from
   1 to SCHEMA_MAX.  FILES that declare a later version are refused.  All
   programs that support the declared version accept or refuse FILES alike.  */
struct bb_settings *
bb_settings_parse_for_schema (const struct bb_settings_files *files,
                              uint32_t schema_max,
                              struct bb_settings_faults *faults);

/* Frees S, which may be NULL.  */
void bb_settings_free (struct bb_settings *s);

/* Returns the merged settings as YAML, each value followed by a comment that
   names the file it came from.  The caller frees the string.  Returns NULL
   after adding to FAULTS if FILES are not valid.  */
char *bb_settings_to_yaml (const struct bb_settings_files *files,
                           struct bb_settings_faults *faults);

/* Frees the strings of FAULTS, not FAULTS itself, and leaves it empty.  */
void bb_settings_faults_free (struct bb_settings_faults *faults);

/* These three return the item NAME of a section of S, or NULL if there is
   none.  */
const struct bb_failure_domain_settings *
bb_settings_failure_domain (const struct bb_settings *s, const char *name);
const struct bb_upstream_settings *
bb_settings_upstream (const struct bb_settings *s, const char *name);
const struct bb_entry_settings *bb_settings_entry (const struct bb_settings *s,
                                                   const char *name);

/* Returns whether upstream U of S may receive new requests: U is in state
   "in", and so is its failure domain.  */
bool bb_settings_upstream_enabled (const struct bb_settings *s,
                                   const struct bb_upstream_settings *u);

/* Returns the customer NAME, or NULL if there is none.  */
const struct bb_customer_settings *
bb_settings_customer_by_name (const struct bb_settings *s, const char *name);

/* Returns the customer whose bearer key has the SHA-256 KEY_HEX, 64 lower-case
   hexadecimal digits, or NULL if there is none.  */
const struct bb_customer_settings *
bb_settings_customer_by_key (const struct bb_settings *s, const char *key_hex);

/* Returns the route for METHOD and PATH, which need no null byte at the end,
   or NULL if there is none.  A route path that ends in an asterisk matches by
   prefix.  Of several matching routes the one with the longest path is
   returned.  Sets *PATH_KNOWN to whether a route matches PATH, whatever its
   method.  */
const struct bb_route_settings *
bb_settings_route (const struct bb_settings *s, const char *method,
                   size_t method_size, const char *path, size_t path_size,
                   bool *path_known);

struct sockaddr_storage;

/* Parses TEXT, "IPV4:PORT" or "[IPV6]:PORT" with a numeric address, into OUT.
   Returns false if TEXT has another form, or PORT is not from 1 to 65535.  */
bool bb_address_parse (const char *text, struct sockaddr_storage *out);

#endif
