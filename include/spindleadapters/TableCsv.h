// Reads and writes the table as three CSV files that a spreadsheet can edit.

#pragma once

#include "spindlecore/spindlecore.h"

#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle {

// The texts of the three files.
struct CsvFiles {
    std::string workspaces;
    std::string routes;
    std::string endpoints;
};

// A fault at one cell. Line 0 stands for the whole file.
struct CellFault {
    std::string file;
    unsigned line = 0;
    std::string column;
    std::string text;

    std::string toString() const;
};

class TableCsv {
public:
    // Parses and checks all three files. On any fault it returns nothing and faults() lists each of them; a table with
    // a fault is never returned in part.
    std::optional<Table> parse(const CsvFiles&);
    const std::vector<CellFault>& faults() const { return m_faults; }

    static CsvFiles format(const Table&);

private:
    std::vector<CellFault> m_faults;
};

} // namespace jacinthspindle
