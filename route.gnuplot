set terminal pngcairo size 900,500
set output 'route-domain.png'
set datafile separator ','
set xlabel 's'
set ylabel 'p99 of answers, ms'
set title 'a failure domain leaves at 15 s and returns at 25 s'
plot for [n in 'round_robin random least_in_flight bilberry'] 'route-domain.csv' using 2:(strcol(1) eq n ? $3 : NaN) with lines title n noenhanced
