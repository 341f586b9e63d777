/* Packs large values by zstd, as the difference against a value that the
   receiver has where there is one.  */

#include "bilberry/wire.h"

#include <zstd.h>

enum
{
  WINDOW_LOG_MIN = 10, /* of the format */
  WINDOW_LOG_MAX = 24, /* no value is larger */
  LEVEL = 3
};

/* Contexts are kept, as small values take less time than to make one.  */
static ZSTD_CCtx *packer;
static ZSTD_DCtx *unpacker;

/* Returns the window that covers BYTES, so that all of the base is found.  */
static int
window_log (gsize bytes)
{
  int log = WINDOW_LOG_MIN;

  while (log < WINDOW_LOG_MAX && ((gsize)1 << log) < bytes)
    log++;
  return log;
}

GBytes *
bb_pack (GBytes *value, GBytes *base)
{
  gsize size;
  gsize base_size = 0;
  const void *data = g_bytes_get_data (value, &size);
  const void *base_data = base ? g_bytes_get_data (base, &base_size) : NULL;
  size_t capacity = ZSTD_compressBound (size);
  void *packed = g_malloc (capacity);
  size_t n;

  if (!packer)
    packer = ZSTD_createCCtx ();
  ZSTD_CCtx_reset (packer, ZSTD_reset_session_and_parameters);
  ZSTD_CCtx_setParameter (packer, ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter (packer, ZSTD_c_windowLog,
                          window_log (size + base_size));
  if (base)
    ZSTD_CCtx_refPrefix (packer, base_data, base_size);
  n = ZSTD_compress2 (packer, packed, capacity, data, size);
  if (ZSTD_isError (n))
    {
      g_free (packed);
      return NULL;
    }
  return g_bytes_new_take (g_realloc (packed, n), n);
}

GBytes *
bb_unpack (struct bb_bytes packed, size_t size, GBytes *base)
{
  gsize base_size = 0;
  const void *base_data = base ? g_bytes_get_data (base, &base_size) : NULL;
  void *data = g_malloc (size);
  size_t n;

  if (!unpacker)
    unpacker = ZSTD_createDCtx ();
  ZSTD_DCtx_reset (unpacker, ZSTD_reset_session_and_parameters);
  if (base)
    ZSTD_DCtx_refPrefix (unpacker, base_data, base_size);
  n = ZSTD_decompressDCtx (unpacker, data, size, packed.ptr, packed.size);
  if (ZSTD_isError (n) || n != size)
    {
      g_free (data);
      return NULL;
    }
  return g_bytes_new_take (data, size);
}
