#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <openssl/sha.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  ARGUMENTS_MAX = 32,
  PORTS_MAX = 1024,
  READY_TIMEOUT_MS = 20000
};

struct harness
{
  char build_dir[2048];
  char dir[64];
  char config_dir[80];
  pid_t processes[HARNESS_PROCESSES_MAX];
  uint32_t processes_count;
  int ports[PORTS_MAX];
  uint32_t ports_count;
};

static void
fail (const char *what)
{
  fprintf (stderr, "harness: %s: %s\n", what, strerror (errno));
  abort ();
}

/* The harness of this test, whose processes on_abort kills.  */
static struct harness *current;

static void
kill_processes (const struct harness *h)
{
  for (uint32_t i = 0; i < h->processes_count; i++)
    if (h->processes[i] > 0)
      kill (h->processes[i], SIGKILL);
}

static void
on_abort (int signal_number)
{
  if (current)
    kill_processes (current);
  signal (signal_number, SIG_DFL);
  raise (signal_number);
}

struct harness *
harness_new (const char *build)
{
  struct harness *h = calloc (1, sizeof *h);

  current = h;
  signal (SIGABRT, on_abort);
  /* By this g_error ends a process.  */
  signal (SIGTRAP, on_abort);

  signal (SIGPIPE, SIG_IGN);
  snprintf (h->build_dir, sizeof h->build_dir, "%s", build);
  snprintf (h->dir, sizeof h->dir, "/tmp/bilberry-XXXXXX");
  if (!mkdtemp (h->dir))
    fail ("mkdtemp");
  snprintf (h->config_dir, sizeof h->config_dir, "%s/config", h->dir);
  if (mkdir (h->config_dir, 0755) < 0)
    fail ("mkdir");
  return h;
}

static void
remove_dir (const char *dir)
{
  char command[160];

  snprintf (command, sizeof command, "rm -rf '%s'", dir);
  if (system (command) != 0)
    fprintf (stderr, "harness: could not remove %s\n", dir);
}

void
harness_free (struct harness *h)
{
  current = NULL;
  kill_processes (h);
  for (uint32_t i = 0; i < h->processes_count; i++)
    {
      if (h->processes[i] == 0)
        continue;
      waitpid (h->processes[i], NULL, 0);
    }
  for (uint32_t i = 0; i < h->ports_count; i++)
    close (h->ports[i]);
  remove_dir (h->dir);
  free (h);
}

const char *
harness_build_dir (void)
{
  const char *dir = getenv ("BILBERRY_BUILD");

  return dir ? dir : "build";
}

const char *
harness_config_dir (const struct harness *h)
{
  return h->config_dir;
}

uint16_t
harness_port (struct harness *h)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t size = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || h->ports_count == PORTS_MAX
      || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
      || bind (fd, (struct sockaddr *)&addr, size) < 0
      || getsockname (fd, (struct sockaddr *)&addr, &size) < 0)
    fail ("port");
  h->ports[h->ports_count++] = fd;
  return ntohs (addr.sin_port);
}

char *
harness_make_dir (struct harness *h, const char *name)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s", h->dir, name);
  if (mkdir (path, 0755) < 0)
    fail (path);
  return strdup (path);
}

void
harness_write_file (const char *dir, const char *name, const char *text)
{
  char path[256];
  char temporary_path[256];
  FILE *out;

  snprintf (path, sizeof path, "%s/%s", dir, name);
  snprintf (temporary_path, sizeof temporary_path, "%s/.%s.next", dir, name);
  out = fopen (temporary_path, "w");
  if (!out)
    fail (temporary_path);
  fputs (text, out);
  fclose (out);
  if (rename (temporary_path, path) < 0)
    fail (path);
}

void
harness_write (struct harness *h, const char *name, const char *format, ...)
{
  char *text = NULL;
  va_list ap;

  va_start (ap, format);
  if (vasprintf (&text, format, ap) < 0)
    fail ("vasprintf");
  va_end (ap);
  harness_write_file (h->config_dir, name, text);
  free (text);
}

static void
exec_child (const struct harness *h, const char *log, const char *program,
            char **argv, int out)
{
  char path[4096];
  char log_path[256];
  int err;

  snprintf (path, sizeof path, "%s/%s", h->build_dir, program);
  snprintf (log_path, sizeof log_path, "%s/%s.log", h->dir, log);
  err = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2 (out, STDOUT_FILENO);
  if (!getenv ("HARNESS_VERBOSE"))
    dup2 (err, STDERR_FILENO);
  execv (path, argv);
  _exit (127);
}

/* Reads FD, the standard output of a new process, until its first line is
   complete and starts with "ready".  Returns false on end of file, or when
   READY_TIMEOUT_MS pass without output.  */
static bool
await_ready (int fd)
{
  char text[256];
  size_t size = 0;
  struct pollfd p = { .fd = fd, .events = POLLIN };

  while (size < sizeof text - 1 && poll (&p, 1, READY_TIMEOUT_MS) > 0)
    {
      ssize_t n = read (fd, text + size, sizeof text - 1 - size);
      if (n <= 0)
        return false;
      size += (size_t)n;
      text[size] = '\0';
      if (strncmp (text, "ready", 5) == 0 && strchr (text, '\n'))
        return true;
    }
  return false;
}

static void
print_log_tail (const struct harness *h, const char *log)
{
  char command[256];

  snprintf (command, sizeof command, "tail -n 20 '%s/%s.log' >&2", h->dir,
            log);
  if (system (command) != 0)
    fprintf (stderr, "harness: could not print the log of %s\n", log);
}

/* Sets ARGV to PROGRAM and the arguments in AP up to NULL.  */
static void
collect_arguments (char *argv[ARGUMENTS_MAX], const char *program, va_list ap)
{
  uint32_t n = 1;

  memset (argv, 0, ARGUMENTS_MAX * sizeof *argv);
  argv[0] = (char *)program;
  while (n < ARGUMENTS_MAX - 1 && (argv[n] = va_arg (ap, char *)))
    n++;
}

static pid_t
add_process (struct harness *h, pid_t pid)
{
  for (uint32_t i = 0; i < h->processes_count; i++)
    if (h->processes[i] == 0)
      return h->processes[i] = pid;
  if (h->processes_count == HARNESS_PROCESSES_MAX)
    fail ("too many processes");
  h->processes[h->processes_count++] = pid;
  return pid;
}

pid_t
harness_start (struct harness *h, const char *log, const char *program, ...)
{
  char *argv[ARGUMENTS_MAX];
  int pipe_fds[2];
  va_list ap;
  pid_t pid;

  va_start (ap, program);
  collect_arguments (argv, program, ap);
  va_end (ap);
  if (pipe2 (pipe_fds, O_CLOEXEC) < 0)
    fail ("pipe");
  pid = fork ();
  if (pid == 0)
    exec_child (h, log, program, argv, pipe_fds[1]);
  close (pipe_fds[1]);
  if (!await_ready (pipe_fds[0]))
    {
      fprintf (stderr, "harness: %s printed no \"ready\" line\n", program);
      print_log_tail (h, log);
      abort ();
    }
  close (pipe_fds[0]);
  return add_process (h, pid);
}

pid_t
harness_spawn (struct harness *h, const char *log, const char *program, ...)
{
  char *argv[ARGUMENTS_MAX];
  char path[256];
  va_list ap;
  pid_t pid;
  int out;

  va_start (ap, program);
  collect_arguments (argv, program, ap);
  va_end (ap);
  snprintf (path, sizeof path, "%s/%s.out", h->dir, log);
  out = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid = fork ();
  if (pid == 0)
    exec_child (h, log, program, argv, out);
  close (out);
  return add_process (h, pid);
}

char *
harness_log_path (const struct harness *h, const char *log)
{
  char *path = NULL;

  if (asprintf (&path, "%s/%s.out", h->dir, log) < 0)
    fail ("asprintf");
  return path;
}

void
harness_signal (struct harness *h, pid_t pid, int signal)
{
  (void)h;
  if (kill (pid, signal) < 0)
    fail ("kill");
}

/* Records that the process PID has ended with STATUS.  Returns that as
   harness_wait does.  */
static int
record_end (struct harness *h, pid_t pid, int status)
{
  for (uint32_t i = 0; i < h->processes_count; i++)
    if (h->processes[i] == pid)
      h->processes[i] = 0;
  if (WIFSIGNALED (status))
    return 128 + WTERMSIG (status);
  return WEXITSTATUS (status);
}

int
harness_wait (struct harness *h, pid_t pid)
{
  int status = 0;

  if (waitpid (pid, &status, 0) != pid)
    fail ("waitpid");
  return record_end (h, pid, status);
}

bool
harness_has_ended (struct harness *h, pid_t pid, int *status)
{
  int raw = 0;
  pid_t ended = waitpid (pid, &raw, WNOHANG);

  if (ended < 0)
    fail ("waitpid");
  if (ended == pid)
    *status = record_end (h, pid, raw);
  return ended == pid;
}

void
harness_sha256 (const char *key, char out[65])
{
  unsigned char hash[SHA256_DIGEST_LENGTH];

  SHA256 ((const unsigned char *)key, strlen (key), hash);
  for (uint32_t i = 0; i < sizeof hash; i++)
    snprintf (out + 2 * (size_t)i, 3, "%02x", hash[i]);
}

void
harness_sleep_ms (int ms)
{
  struct timespec ts
      = { .tv_sec = ms / 1000, .tv_nsec = (long)(ms % 1000) * 1000000 };

  while (nanosleep (&ts, &ts) < 0 && errno == EINTR)
    ;
}

uint32_t
harness_number (const char *name, uint32_t fallback)
{
  const char *text = getenv (name);

  return text ? (uint32_t)strtoul (text, NULL, 10) : fallback;
}
