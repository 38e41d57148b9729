package lab

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// Save writes results.json, table.md, table.csv and the charts of a day into the directory dir,
// which is created if necessary. A file is written completely or not at all.
func (r *Result) Save(dir string) error {
	files := map[string]func(w io.Writer) error{
		"results.json": r.JSON, "table.md": r.Markdown, "table.csv": r.CSV,
	}
	maps.Copy(files, r.Charts())
	return saveAll(dir, files)
}

// saveAll writes each file under a temporary name and renames it when it is complete.
func saveAll(dir string, files map[string]func(w io.Writer) error) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		var b bytes.Buffer
		if err := files[name](&b); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path+".part", b.Bytes(), 0o644); err != nil {
			return err
		}
		if err := os.Rename(path+".part", path); err != nil {
			return err
		}
	}
	return nil
}
