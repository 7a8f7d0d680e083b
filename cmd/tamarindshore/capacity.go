package main

import (
	"fmt"
	"os"
	"strings"

	"tamarindshore/internal/capacity"
	"tamarindshore/internal/scale"
)

type capacityCommand struct {
	Plan   string `help:"Plan file: sizes, budgets and assumptions." default:"deploy/capacity.sexp" placeholder:"FILE"`
	Slopes string `help:"Cost slopes, as scale --json wrote them." default:"docs/scale/slopes.json" placeholder:"FILE"`
	Page   string `help:"Also replace the tables of a Markdown page, between its markers." placeholder:"FILE"`
}

// Help returns the detailed help text.
func (c capacityCommand) Help() string {
	return "Calculates the load of each role in a planned fleet, prints it as Markdown and compares it with the plan's " +
		"budgets. The exit code is 3 if a budget is exceeded in the scope that the plan selects; each such budget is " +
		"listed at the end."
}

// Run prints the tables and returns errViolation if a budget is exceeded.
func (c capacityCommand) Run() error {
	plan, err := capacity.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	slopes, err := scale.ReadReport(c.Slopes)
	if err != nil {
		return err
	}
	var tables strings.Builder
	exceeded := capacity.NewModel(plan, slopes).WriteTables(&tables)
	if _, err := fmt.Print(tables.String()); err != nil {
		return err
	}
	if err := c.writePage(tables.String()); err != nil {
		return err
	}
	if len(exceeded) > 0 {
		return errViolation
	}
	return nil
}

// writePage replaces the tables in the page given by --page. Without the flag it does nothing.
func (c capacityCommand) writePage(tables string) error {
	if c.Page == "" {
		return nil
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	updated, err := capacity.ReplaceTables(string(page), tables)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Page, err)
	}
	return os.WriteFile(c.Page, []byte(updated), 0o644)
}
