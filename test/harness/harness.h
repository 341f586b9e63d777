#ifndef HARNESS_H
#define HARNESS_H

/* Runs real processes on loopback for tests, the demo and the bench.

   Ports are picked by the kernel: a port is reserved by a bound socket that
   never listens, so that a process can listen on it, stop and come back.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum
{
  HARNESS_PROCESSES_MAX = 256,
  HARNESS_KEY_SIZE = 32
};

struct harness;

/* Makes a harness whose programs lie in folder BUILD, with an empty settings
   folder of its own.  */
struct harness *harness_new (const char *build);

/* Ends all processes that it started, by their ids, and removes its folder. */
void harness_free (struct harness *h);

/* Returns the folder of built programs, which the test runner names.  */
const char *harness_build_dir (void);

const char *harness_config_dir (const struct harness *h);

/* Reserves a port of 127.0.0.1 for the life of the harness.  */
uint16_t harness_port (struct harness *h);

/* Writes file NAME of the settings folder in one step.  */
void harness_write (struct harness *h, const char *name, const char *format,
                    ...) __attribute__ ((format (printf, 3, 4)));

/* Makes a further settings folder.  The caller frees its path.  */
char *harness_make_dir (struct harness *h, const char *name);

/* Writes TEXT to file NAME of folder DIR in one step.  */
void harness_write_file (const char *dir, const char *name, const char *text);

/* Starts PROGRAM with the arguments that follow, ended by NULL, and waits
   until it prints a line that starts with "ready".  Standard error goes to
   LOG in the harness folder.  Returns its id; aborts when it does not come
   up.  */
pid_t harness_start (struct harness *h, const char *log, const char *program,
                     ...) __attribute__ ((sentinel));

/* Starts PROGRAM likewise, without waiting; its standard output goes to
   LOG.out in the harness folder.  */
pid_t harness_spawn (struct harness *h, const char *log, const char *program,
                     ...) __attribute__ ((sentinel));

/* Returns the path of LOG.out; the caller frees it.  */
char *harness_log_path (const struct harness *h, const char *log);

/* Sends SIGNAL to a process of the harness.  */
void harness_signal (struct harness *h, pid_t pid, int signal);

/* Waits until a process ends.  Returns its exit status, or 128 and the
   number of the signal that ended it.  */
int harness_wait (struct harness *h, pid_t pid);

/* One answer to an HTTP request.  */
struct http_response
{
  int status;    /* 0: the connection failed or the answer is cut off */
  char *headers; /* as received */
  char *body;    /* decoded from chunks; ended by a null byte */
  size_t body_size;
  bool complete;
};

/* Sends one request to 127.0.0.1:PORT on a new connection and waits for the
   answer.  HEADERS are lines that end in "\r\n"; may be empty.  */
struct http_response harness_http (uint16_t port, const char *method,
                                   const char *path, const char *headers,
                                   const char *body);
void http_response_free (struct http_response *a);

/* Sends raw bytes and reads what comes until the peer closes or the time is
   over.  The caller frees the text.  */
char *harness_send_raw (uint16_t port, const char *data, size_t size,
                        int timeout_ms);

/* Sends raw bytes on a new connection that takes few bytes unread, and reads
   nothing.  Returns the socket.  */
int harness_send_unread (uint16_t port, const char *data, size_t size);

/* Connects to 127.0.0.1:PORT.  Returns the socket or -1.  */
int harness_connect (uint16_t port);

/* Asks URL path PATH on PORT until the body holds TEXT; false after
   TIMEOUT_MS.  */
bool harness_await (uint16_t port, const char *path, const char *text,
                    int timeout_ms);

/* Returns the value of counter NAME with LABELS ("" for none) on the operator
   listener of PORT; 0 where it is not there.  */
uint64_t harness_counter (uint16_t port, const char *name, const char *labels);

/* Prints the SHA-256 of KEY in hexadecimal to OUT.  */
void harness_sha256 (const char *key, char out[65]);

void harness_sleep_ms (int ms);

#endif
