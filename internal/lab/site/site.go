// Package site derives a site file from an existing one and a difference file, which holds only the
// values that differ.
//
// A difference file is TOML. A key of the site file gets a new value under the table in which it
// stands there. An element of a list of tables is addressed by its name, as in [class.readings], or
// by its position from 1, as in [fam.class.1]. A key that the site file does not have is an error,
// as is a value of another kind, so that misspelled keys are not silently ignored.
package site

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// companionFiles are the files that the benchmark needs in the folder of a site file.
var companionFiles = []string{"real.json", "wire.json", "unlock.txt"}

// Problems lists the errors in a difference file, each with file, line and key.
type Problems []string

func (p Problems) Error() string { return strings.Join(p, "\n") }

// Make applies a difference file to a site file and writes the result and the site file's companion
// files into dir. It returns the path of the new site file. It writes nothing if it finds an error
// in its input.
func Make(difference, sitePath, dir string) (string, error) {
	text, err := os.ReadFile(difference)
	if err != nil {
		return "", err
	}
	base, err := os.ReadFile(sitePath)
	if err != nil {
		return "", fmt.Errorf("the site file is missing: %w", err)
	}
	made, err := Apply(difference, text, sitePath, base)
	if err != nil {
		return "", err
	}
	stem := strings.TrimSuffix(filepath.Base(difference), filepath.Ext(difference))
	files := map[string][]byte{stem + ".toml": made}
	var missing []error
	for _, name := range companionFiles {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(sitePath), name))
		if err != nil {
			missing = append(missing, fmt.Errorf("missing beside the site file: %w", err))
		}
		files[name] = data
	}
	if err := errors.Join(missing...); err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return "", err
		}
	}
	return filepath.Join(dir, stem+".toml"), nil
}

// Apply applies a difference file to a site file and returns the resulting site file. The file
// names are used in errors. Errors in the difference file are returned as Problems.
func Apply(name string, difference []byte, sitePath string, base []byte) ([]byte, error) {
	var tree map[string]any
	if err := toml.Unmarshal(base, &tree); err != nil {
		return nil, fmt.Errorf("%s: %w", sitePath, err)
	}
	var values map[string]any
	if err := toml.Unmarshal(difference, &values); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
			return nil, Problems{fmt.Sprintf("%s:%d: %s", name, line, at.Error())}
		}
		return nil, Problems{fmt.Sprintf("%s: %v", name, err)}
	}
	entries, err := listEntries(difference)
	if err != nil {
		return nil, Problems{fmt.Sprintf("%s: %v", name, err)}
	}
	var wrong Problems
	// sets are called at the end, since one of them may rename a list element that later entries
	// address by its old name.
	var sets []func()
	for _, e := range entries {
		set, err := e.resolve(tree, values)
		if err != nil {
			wrong = append(wrong, fmt.Sprintf("%s:%d: %s: %v", name, e.line, strings.Join(e.path, "."), err))
			continue
		}
		sets = append(sets, set)
	}
	if len(wrong) > 0 {
		return nil, wrong
	}
	for _, set := range sets {
		set()
	}
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(tree); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// entry is a key of a difference file with its full path.
type entry struct {
	path []string
	line int
}

// listEntries returns the keys of a TOML text with their full paths.
func listEntries(text []byte) ([]entry, error) {
	var p unstable.Parser
	p.Reset(text)
	var all []entry
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, _ = keyPath(&p, nil, e)
		case unstable.KeyValue:
			full, line := keyPath(&p, table, e)
			all = append(all, entry{full, line})
		}
	}
	return all, p.Error()
}

// keyPath returns the full path of the key of an expression, which starts with that of its table,
// and the line on which the key begins.
func keyPath(p *unstable.Parser, table []string, e *unstable.Node) (parts []string, line int) {
	parts = append(parts, table...)
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		parts = append(parts, string(n.Data))
	}
	return parts, line
}

// resolve finds the place of an entry in the tree of the site file and returns a function that sets
// the entry's value there.
func (e entry) resolve(tree, values map[string]any) (func(), error) {
	at, value := tree, any(values)
	for i, part := range e.path {
		value = value.(map[string]any)[part]
		if i == len(e.path)-1 {
			break
		}
		switch next := at[part].(type) {
		case map[string]any:
			at = next
		case []any:
			// The next part of the path addresses an element of the list.
			if i+2 >= len(e.path) {
				return nil, errors.New("a list of tables: name the element, and a key of it")
			}
			el, err := findElement(next, e.path[i+1])
			if err != nil {
				return nil, err
			}
			at = map[string]any{e.path[i+1]: el}
		default:
			return nil, fmt.Errorf("the site file has no table %q", part)
		}
	}
	key := e.path[len(e.path)-1]
	old, ok := at[key]
	if !ok {
		return nil, errors.New("the site file has no such key")
	}
	if kindOf(old) != kindOf(value) || kindOf(value) == "" {
		return nil, fmt.Errorf("the site file has %v there", old)
	}
	return func() { at[key] = value }, nil
}

// findElement returns the table in a list that has the given name, or else the one at that position
// from 1.
func findElement(list []any, name string) (map[string]any, error) {
	for _, v := range list {
		if t, ok := v.(map[string]any); ok && t["name"] == name {
			return t, nil
		}
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 1 && i <= len(list) {
		if t, ok := list[i-1].(map[string]any); ok {
			return t, nil
		}
	}
	return nil, fmt.Errorf("no element %q in the site file", name)
}

// kindOf returns the kind of a value; only a value of the same kind may replace it. A list has the
// kind of its first element, so that a number and a range of numbers are of the same kind, as are a
// string and a list of strings. The kind of an empty list or of another value is "".
func kindOf(v any) string {
	switch v := v.(type) {
	case string:
		return "text"
	case int64, float64:
		return "figure"
	case bool:
		return "switch"
	case []any:
		if len(v) > 0 {
			return kindOf(v[0])
		}
	}
	return ""
}
