#ifndef REPORT_H
#define REPORT_H

/* Helpers of the benchmarks: output files of the report and a linear fit.  */

#include <stdio.h>
#include <stdlib.h>

/* Opens the file NAME for writing in the folder that BILBERRY_REPORT names, in
   /tmp if that is unset.  Exits if the file cannot be opened.  */
static inline FILE *
report_open (const char *name)
{
  const char *dir = getenv ("BILBERRY_REPORT");
  char path[4096];
  FILE *out;

  snprintf (path, sizeof path, "%s/%s", dir ? dir : "/tmp", name);
  out = fopen (path, "w");
  if (!out)
    {
      perror (path);
      exit (1);
    }
  return out;
}

/* Fits Y = *INTERCEPT + *SLOPE * X to COUNT points by least squares.  */
static inline void
report_fit_line (const double *x, const double *y, int count,
                 double *intercept, double *slope)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;

  for (int i = 0; i < count; i++)
    {
      sx += x[i];
      sy += y[i];
      sxx += x[i] * x[i];
      sxy += x[i] * y[i];
    }
  *slope = (count * sxy - sx * sy) / (count * sxx - sx * sx);
  *intercept = (sy - *slope * sx) / count;
}

#endif
