package balance

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The operators print the module and file its pages. It is made of files with one job each: none may outgrow its pages.
func TestSourceFileSizeLimits(t *testing.T) {
	const maxLines, maxColumns = 300, 110
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > maxColumns {
				t.Errorf("%s:%d: %d columns, over %d", file, i+1, n, maxColumns)
			}
		}
		if lines > maxLines {
			t.Errorf("%s: %d lines that are not blank, over %d", file, lines, maxLines)
		}
	}
	text, err := os.ReadFile("balance.go")
	if err != nil {
		t.Fatal(err)
	}
	if head, _, _ := strings.Cut(string(text), "\n"); !strings.Contains(head, "interface.go") {
		t.Errorf("balance.go: its first line does not name interface.go")
	}
}
