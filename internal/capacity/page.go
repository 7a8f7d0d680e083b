package capacity

import (
	"errors"
	"strings"
)

// Marks of the tables within a page.
const (
	BeginMark = "<!-- begin: tamarindshore capacity -->\n"
	EndMark   = "<!-- end: tamarindshore capacity -->\n"
)

var errNoMarks = errors.New("the page has no marks around its tables")

// TablesOf are the tables that stand in a page.
func ExtractTables(page string) (string, error) {
	_, rest, began := strings.Cut(page, BeginMark)
	tables, _, ended := strings.Cut(rest, EndMark)
	if !began || !ended {
		return "", errNoMarks
	}
	return tables, nil
}

// WithTables is a page with other tables between its marks.
func ReplaceTables(page, tables string) (string, error) {
	before, rest, began := strings.Cut(page, BeginMark)
	_, after, ended := strings.Cut(rest, EndMark)
	if !began || !ended {
		return "", errNoMarks
	}
	return before + BeginMark + tables + EndMark + after, nil
}
