/* Checks the lengths in a msgpack value before it is unpacked.  The unpacker
   allocates memory for the element count in the header of an array or map
   before it reads the elements, so a count that the remaining bytes cannot
   hold is refused here.  */

#include "wire.h"

enum
{
  DEPTH_MAX = 8 /* nesting of arrays and maps */
};

/* The bytes that have not been scanned.  */
struct scanner
{
  const uint8_t *p;
  const uint8_t *end;
};

static bool scan_value (struct scanner *s, uint32_t depth);

static bool
skip (struct scanner *s, uint64_t size)
{
  if ((uint64_t)(s->end - s->p) < size)
    return false;
  s->p += size;
  return true;
}

/* Reads a big-endian number of WIDTH bytes into *SIZE.  Returns false if fewer
   bytes remain.  */
static bool
read_size (struct scanner *s, uint32_t width, uint64_t *size)
{
  *size = 0;
  if ((uint64_t)(s->end - s->p) < width)
    return false;
  for (uint32_t i = 0; i < width; i++)
    *size = *size << 8 | *s->p++;
  return true;
}

/* Skips a length field of WIDTH bytes, the bytes that it counts, and EXTRA
   more.  Returns false if fewer bytes remain.  */
static bool
skip_counted_bytes (struct scanner *s, uint32_t width, uint32_t extra)
{
  uint64_t size;

  return read_size (s, width, &size) && skip (s, size + extra);
}

static bool
scan_elements (struct scanner *s, uint64_t count, uint32_t depth)
{
  if (depth >= DEPTH_MAX || count > (uint64_t)(s->end - s->p))
    return false;
  for (uint64_t i = 0; i < count; i++)
    if (!scan_value (s, depth + 1))
      return false;
  return true;
}

/* Scans a count of WIDTH bytes and its elements, ELEMENTS_PER_COUNT for each:
   1 in an array, 2 in a map.  */
static bool
scan_collection (struct scanner *s, uint32_t width,
                 uint32_t elements_per_count, uint32_t depth)
{
  uint64_t count;

  return read_size (s, width, &count)
         && scan_elements (s, count * elements_per_count, depth);
}

/* Scans the rest of a value after its type byte TYPE, which is from 0xc0 to
   0xdf.  */
static bool
scan_typed (struct scanner *s, uint8_t type, uint32_t depth)
{
  if (type == 0xc0 || type == 0xc2 || type == 0xc3)
    return true;
  if (type >= 0xc4 && type <= 0xc6)
    return skip_counted_bytes (s, 1U << (type - 0xc4), 0);
  if (type >= 0xc7 && type <= 0xc9)
    return skip_counted_bytes (s, 1U << (type - 0xc7), 1);
  if (type == 0xca || type == 0xcb)
    return skip (s, type == 0xca ? 4 : 8);
  if (type >= 0xcc && type <= 0xcf)
    return skip (s, UINT64_C (1) << (type - 0xcc));
  if (type >= 0xd0 && type <= 0xd3)
    return skip (s, UINT64_C (1) << (type - 0xd0));
  if (type >= 0xd4 && type <= 0xd8)
    return skip (s, (UINT64_C (1) << (type - 0xd4)) + 1);
  if (type >= 0xd9 && type <= 0xdb)
    return skip_counted_bytes (s, 1U << (type - 0xd9), 0);
  if (type == 0xdc || type == 0xdd)
    return scan_collection (s, type == 0xdc ? 2 : 4, 1, depth);
  if (type == 0xde || type == 0xdf)
    return scan_collection (s, type == 0xde ? 2 : 4, 2, depth);
  return false;
}

static bool
scan_value (struct scanner *s, uint32_t depth)
{
  uint8_t type;

  if (s->p == s->end)
    return false;
  type = *s->p++;
  if (type <= 0x7f || type >= 0xe0)
    return true;
  if (type <= 0x8f)
    return scan_elements (s, (uint64_t)(type & 0x0f) * 2, depth);
  if (type <= 0x9f)
    return scan_elements (s, type & 0x0f, depth);
  if (type <= 0xbf)
    return skip (s, type & 0x1f);
  return scan_typed (s, type, depth);
}

bool
bb_wire_lengths_valid (const char *data, size_t size)
{
  struct scanner s = { .p = (const uint8_t *)data };

  s.end = s.p + size;
  return scan_value (&s, 0) && s.p == s.end;
}
