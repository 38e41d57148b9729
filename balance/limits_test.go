package balance

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The source files of the package are printed and filed, so each is limited in lines and columns.
// balance.go must refer to interface.go in its first line.
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
				t.Errorf("%s:%d: got %d columns, want at most %d", file, i+1, n, maxColumns)
			}
		}
		if lines > maxLines {
			t.Errorf("%s: got %d lines that are not blank, want at most %d", file, lines, maxLines)
		}
	}
	text, err := os.ReadFile("balance.go")
	if err != nil {
		t.Fatal(err)
	}
	if head, _, _ := strings.Cut(string(text), "\n"); !strings.Contains(head, "interface.go") {
		t.Errorf("balance.go: the first line does not contain interface.go")
	}
}
