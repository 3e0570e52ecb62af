// One measured slope: a figure at several sizes, the straight line through them and its residual.

#pragma once

#include <string>
#include <vector>

namespace jacinthspindle::bench {

struct Slope {
    std::string name;
    std::string sizeUnit;
    std::string valueUnit;
    double target = 0; // The size at which the line is read off; 0: the greatest measured size.
    std::vector<double> sizes;
    std::vector<double> values;

    void add(double size, double value)
    {
        sizes.push_back(size);
        values.push_back(value);
    }
};

struct Fit {
    double intercept = 0;
    double perUnit = 0;
    double residual = 0; // Root of the mean squared deviation, relative to the mean value.
};

// The line with the least squares of the deviations.
Fit fitLine(const Slope&);

// Prints one JSON line and keeps the slope for the table.
void report(const Slope&);
void printTable();

// Processor time of this process in seconds.
double processorSeconds();
// Bytes of the heap in use.
double heapBytes();

} // namespace jacinthspindle::bench
