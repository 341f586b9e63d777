#ifndef HARNESS_H
#define HARNESS_H

/* Runs real processes on loopback for tests, the demo and benchmarks.

   The kernel assigns the ports.  A port stays reserved by a bound socket that
   never listens, so that a process can listen on it, stop and start again.  */

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

/* Returns a harness that starts programs of folder BUILD, with a temporary
   folder that has an empty settings folder.  A process has one harness at a
   time.  The caller frees it with harness_free.  */
struct harness *harness_new (const char *build);

/* Kills the processes that H started, by their ids, removes its folder and
   frees it.  */
void harness_free (struct harness *h);

/* Returns the folder of built programs: the environment variable
   BILBERRY_BUILD, or "build".  */
const char *harness_build_dir (void);

/* Returns the path of the settings folder.  */
const char *harness_config_dir (const struct harness *h);

/* Returns a port of 127.0.0.1, reserved until harness_free.  */
uint16_t harness_port (struct harness *h);

/* Atomically replaces file NAME of the settings folder by the text of FORMAT
   and its arguments, as of printf.  */
void harness_write (struct harness *h, const char *name, const char *format,
                    ...) __attribute__ ((format (printf, 3, 4)));

/* Makes another settings folder, NAME, in the folder of the harness.  Returns
   its path, which the caller frees.  */
char *harness_make_dir (struct harness *h, const char *name);

/* Atomically replaces file NAME of folder DIR by TEXT.  */
void harness_write_file (const char *dir, const char *name, const char *text);

/* Starts PROGRAM with the arguments that follow, up to NULL, and waits until
   it prints a first line that starts with "ready".  Its standard error goes to
   LOG.log in the folder of the harness, or to that of the test where the
   environment variable HARNESS_VERBOSE is set.  Returns its process id; aborts
   when it does not print that line.  */
pid_t harness_start (struct harness *h, const char *log, const char *program,
                     ...) __attribute__ ((sentinel));

/* Starts PROGRAM as harness_start does, but without waiting for its first
   line.  Its standard output goes to LOG.out in the folder of the harness.
   Returns its process id.  */
pid_t harness_spawn (struct harness *h, const char *log, const char *program,
                     ...) __attribute__ ((sentinel));

/* Returns the path of LOG.out, the standard output of a process that
   harness_spawn started; the caller frees it.  */
char *harness_log_path (const struct harness *h, const char *log);

/* Sends SIGNAL to the process PID.  */
void harness_signal (struct harness *h, pid_t pid, int signal);

/* Waits until the process PID ends.  Returns its exit status, or 128 plus the
   number of the signal that ended it.  */
int harness_wait (struct harness *h, pid_t pid);

/* Whether the process PID has ended; if so, sets *STATUS as harness_wait
   returns it.  */
bool harness_has_ended (struct harness *h, pid_t pid, int *status);

/* Response to an HTTP request.  */
struct http_response
{
  int status;    /* 0: the connection failed or ended in the headers */
  char *headers; /* as received, with the status line */
  char *body;    /* with chunked encoding removed; followed by a null byte */
  size_t body_size; /* bytes of BODY, without the null byte */
  /* The body has the length of Content-Length or ends with the last chunk;
     where the headers have neither, the connection was closed and not
     reset.  */
  bool complete;
};

/* Sends one request to 127.0.0.1:PORT on a new connection and returns the
   response, which the caller frees with http_response_free.  HEADERS are
   further header lines that each end in "\r\n", or "".  */
struct http_response harness_http (uint16_t port, const char *method,
                                   const char *path, const char *headers,
                                   const char *body);
void http_response_free (struct http_response *r);

/* Sends SIZE bytes at DATA to 127.0.0.1:PORT on a new connection and reads
   until the peer closes or sends nothing for TIMEOUT_MS.  Returns the text
   received, which the caller frees; "" where it could not connect.  */
char *harness_send_raw (uint16_t port, const char *data, size_t size,
                        int timeout_ms);

/* Sends SIZE bytes at DATA on a new connection with a small receive buffer and
   reads nothing, so that the peer's send buffer fills up.  Returns the socket;
   aborts on failure.  */
int harness_send_unread (uint16_t port, const char *data, size_t size);

/* Sends SIZE bytes at DATA on FD.  Returns false if the connection ends.  */
bool harness_send_all (int fd, const char *data, size_t size);

/* Has the close of FD reset its connection.  */
void harness_reset_at_close (int fd);

/* Returns a socket connected to 127.0.0.1:PORT; -1 on failure.  */
int harness_connect (uint16_t port);

/* Repeats a GET request of PATH on PORT until the body contains TEXT.  Returns
   false if it does not within about TIMEOUT_MS.  */
bool harness_await (uint16_t port, const char *path, const char *text,
                    int timeout_ms);

/* Returns the value of the counter NAME with LABELS, "" for none, from
   /metrics on PORT; 0 where it is missing.  */
uint64_t harness_counter (uint16_t port, const char *name, const char *labels);

/* Writes the SHA-256 hash of KEY in hexadecimal to OUT.  */
void harness_sha256 (const char *key, char out[65]);

void harness_sleep_ms (int ms);

/* Returns the number in the environment variable NAME, or FALLBACK.  */
uint32_t harness_number (const char *name, uint32_t fallback);

#endif
