package main

import (
	"fmt"
	"os"
	"strings"

	"tamarindshore/internal/capacity"
	"tamarindshore/internal/scale"
)

type capacityCommand struct {
	Plan   string `help:"The plan: sizes, budgets and assumptions." default:"deploy/capacity.sexp" placeholder:"FILE"`
	Slopes string `help:"Slopes that a measurement wrote as JSON." default:"docs/scale/slopes.json" placeholder:"FILE"`
	Page   string `help:"Also put the tables into a page, between its marks." placeholder:"FILE"`
}

func (c capacityCommand) Help() string {
	return "Works out what each role of a planned fleet has to carry, prints it as Markdown and holds it against the " +
		"plan's budgets. Exit 3 where one is passed in the scope that the plan judges; each is named at the end."
}

// Run prints the tables.
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
	passed := capacity.NewModel(plan, slopes).WriteTables(&tables)
	if _, err := fmt.Print(tables.String()); err != nil {
		return err
	}
	if err := c.writePage(tables.String()); err != nil {
		return err
	}
	if len(passed) > 0 {
		return errBadVerdict
	}
	return nil
}

func (c capacityCommand) writePage(tables string) error {
	if c.Page == "" {
		return nil
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	renewed, err := capacity.ReplaceTables(string(page), tables)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Page, err)
	}
	return os.WriteFile(c.Page, []byte(renewed), 0o644)
}
