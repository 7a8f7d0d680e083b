package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"tamarindshore/internal/config"
)

type checkCommand struct {
	Files []string `arg:"" help:"Files to validate."`
}

// Run checks each file and says what it found; all are looked at before it fails.
func (c checkCommand) Run() error {
	invalid := 0
	for _, path := range c.Files {
		summary, err := checkFile(path)
		if err != nil {
			invalid++
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fmt.Printf("%s: %s\n", path, summary)
	}
	if invalid > 0 {
		return fmt.Errorf("%d of %d files are faulty", invalid, len(c.Files))
	}
	return nil
}

// errEmpty says that a file has nothing but white space.
var errEmpty = errors.New("is empty")

// checkFile reads a platform's file (JSON) or an operator's, and says in short what it states.
func checkFile(path string) (summary string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	switch content := bytes.TrimLeft(text, " \t\r\n"); {
	case len(content) == 0:
		return "", fmt.Errorf("%s: %w", path, errEmpty)
	case content[0] == '{':
		return checkPlatformFile(path)
	}
	return checkOperatorFile(path, text)
}

// checkPlatformFile reads a platform's file as a manager does at its start.
func checkPlatformFile(path string) (summary string, err error) {
	read, err := config.Read(func(key string) string {
		return map[string]string{"PROXY_CONFIG": path}[key]
	})
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return fmt.Sprintf("a start: %d zones, %d traffic groups, up to %d proxies",
		len(read.Balancer.Zones), len(read.ClassNames), read.Balancer.Proxies), nil
}

// checkOperatorFile reads the text of an operator's settings.
func checkOperatorFile(path string, text []byte) (summary string, err error) {
	settings, err := config.ParseOperatorSettings(path, text)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("operator's settings: %d cores, log %s as %s", settings.Shards, settings.LogLevel, settings.LogFormat), nil
}
