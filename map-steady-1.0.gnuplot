set terminal svg size 900,420
set output 'map-steady-1.0.svg'
set datafile separator ','
set key outside
set title 'Step-time skew, steady, Zipf 1.0'
set xlabel 'minutes'
set ylabel 'largest over mean rank time'
plot for [i=2:7] 'map-steady-1.0.csv' using 1:i with lines title columnheader(i)
