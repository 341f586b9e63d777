set terminal svg size 900,420
set output 'map-evening-1.4.svg'
set datafile separator ','
set key outside
set title 'Step-time skew, evening, Zipf 1.4'
set xlabel 'minutes'
set ylabel 'largest over mean rank time'
plot for [i=2:7] 'map-evening-1.4.csv' using 1:i with lines title columnheader(i)
