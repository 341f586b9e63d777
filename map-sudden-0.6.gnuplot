set terminal svg size 900,420
set output 'map-sudden-0.6.svg'
set datafile separator ','
set key outside
set title 'Step-time skew, sudden, Zipf 0.6'
set xlabel 'minutes'
set ylabel 'largest over mean rank time'
plot for [i=2:7] 'map-sudden-0.6.csv' using 1:i with lines title columnheader(i)
