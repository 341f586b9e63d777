#include "bilberry/base.h"

#include <string.h>

bool
bb_bytes_equal (struct bb_bytes bytes, const char *text)
{
  size_t size = strlen (text);

  return bytes.size == size && memcmp (bytes.ptr, text, size) == 0;
}

struct bb_bytes
bb_bytes_of (const char *text)
{
  struct bb_bytes b = { .ptr = text, .size = 0 };

  if (text)
    b.size = (uint32_t)strlen (text);
  return b;
}
