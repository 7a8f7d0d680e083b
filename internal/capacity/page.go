package capacity

import (
	"errors"
	"strings"
)

// Markers around the tables in a page.
const (
	BeginMarker = "<!-- begin: tamarindshore capacity -->\n"
	EndMarker   = "<!-- end: tamarindshore capacity -->\n"
)

// ErrNoMarkers means that a page lacks the markers around its tables, or has them in the wrong order.
var ErrNoMarkers = errors.New("the page has no begin and end markers for its tables")

// ExtractTables returns the tables of a page, or ErrNoMarkers if the page has no markers for them.
func ExtractTables(page string) (string, error) {
	_, rest, hasBegin := strings.Cut(page, BeginMarker)
	tables, _, hasEnd := strings.Cut(rest, EndMarker)
	if !hasBegin || !hasEnd {
		return "", ErrNoMarkers
	}
	return tables, nil
}

// ReplaceTables returns the page with the tables between its markers replaced, or ErrNoMarkers if the page has no
// markers for them.
func ReplaceTables(page, tables string) (string, error) {
	before, rest, hasBegin := strings.Cut(page, BeginMarker)
	_, after, hasEnd := strings.Cut(rest, EndMarker)
	if !hasBegin || !hasEnd {
		return "", ErrNoMarkers
	}
	return before + BeginMarker + tables + EndMarker + after, nil
}
