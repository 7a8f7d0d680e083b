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

// Run validates every file, prints a summary or an error for each, and then fails if any file is invalid.
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
		return fmt.Errorf("%d of %d files are invalid", invalid, len(c.Files))
	}
	return nil
}

// errEmpty is returned for a file that contains nothing but white space.
var errEmpty = errors.New("is empty")

// checkFile validates a platform configuration file (JSON) or an operator settings file (S-expressions), and returns a
// summary of its contents.
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

// checkPlatformFile validates a platform configuration file in the same way as a starting manager.
func checkPlatformFile(path string) (summary string, err error) {
	platform, err := config.Read(func(key string) string {
		return map[string]string{"PROXY_CONFIG": path}[key]
	})
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return fmt.Sprintf("platform configuration: %d zones, %d traffic classes, up to %d proxies",
		len(platform.Balancer.Zones), len(platform.ClassNames), platform.Balancer.Proxies), nil
}

// checkOperatorFile validates the text of an operator settings file.
func checkOperatorFile(path string, text []byte) (summary string, err error) {
	settings, err := config.ParseOperatorSettings(path, text)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("operator's settings: %d cores, log %s as %s", settings.Shards, settings.LogLevel, settings.LogFormat), nil
}
