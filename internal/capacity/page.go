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

// ErrNoMarks says that a page has no marks for its tables.
var ErrNoMarks = errors.New("the page has no marks around its tables")

// ExtractTables returns the tables of a page. It returns ErrNoMarks where the page has no place for them.
func ExtractTables(page string) (string, error) {
	_, rest, began := strings.Cut(page, BeginMark)
	tables, _, ended := strings.Cut(rest, EndMark)
	if !began || !ended {
		return "", ErrNoMarks
	}
	return tables, nil
}

// ReplaceTables returns a page with other tables between its marks. It returns ErrNoMarks where the page has none.
func ReplaceTables(page, tables string) (string, error) {
	before, rest, began := strings.Cut(page, BeginMark)
	_, after, ended := strings.Cut(rest, EndMark)
	if !began || !ended {
		return "", ErrNoMarks
	}
	return before + BeginMark + tables + EndMark + after, nil
}
