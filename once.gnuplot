set datafile separator ','
set terminal png size 900,500
set output 'once.png'
set style data histogram
set style fill solid
set ylabel 'keys in doubt, percent'
set xtics rotate by -30
set yrange [0:]
plot for [i=2:7] 'once.csv' using i:xtic(1) title columnheader(i)
