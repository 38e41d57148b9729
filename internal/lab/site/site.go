// Package site makes another customer's site file out of one that the bench has: a difference file holds only what differs.
//
// A difference file is TOML. A key of the site file is given anew under the table in which it stands there; an element of a list
// of tables is addressed by its name, as in [class.readings], or by its place from 1, as in [fam.class.1]. A key that the
// site file lacks is a mistake, as is a value of another kind: what is misspelt must not be passed over in silence.
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

// beside are the files that the bench wants beside a site file.
var beside = []string{"real.json", "wire.json", "unlock.txt"}

// Problems are the mistakes of a difference file, each with file, line and key.
type Problems []string

func (p Problems) Error() string { return strings.Join(p, "\n") }

// Make applies a difference file to a site file and writes the result, with what the bench wants beside it, into a folder. It
// returns the new file's path. Nothing is written unless all holds.
func Make(difference, of, dir string) (string, error) {
	text, err := os.ReadFile(difference)
	if err != nil {
		return "", err
	}
	base, err := os.ReadFile(of)
	if err != nil {
		return "", fmt.Errorf("the site file is missing: %w", err)
	}
	made, err := Apply(difference, text, of, base)
	if err != nil {
		return "", err
	}
	stem := strings.TrimSuffix(filepath.Base(difference), filepath.Ext(difference))
	files := map[string][]byte{stem + ".toml": made}
	var missing []error
	for _, name := range beside {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(of), name))
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

// Apply returns the site file with what the difference file says. The names are for errors, which are Problems where they lie in
// the difference file.
func Apply(name string, difference []byte, of string, base []byte) ([]byte, error) {
	var tree map[string]any
	if err := toml.Unmarshal(base, &tree); err != nil {
		return nil, fmt.Errorf("%s: %w", of, err)
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
	entries, err := keys(difference)
	if err != nil {
		return nil, Problems{fmt.Sprintf("%s: %v", name, err)}
	}
	var wrong Problems
	var sets []func() // carried out at the end: a list's element keeps the name by which it is addressed
	for _, e := range entries {
		set, err := e.into(tree, values)
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

// entry is one key of a difference file.
type entry struct {
	path []string
	line int
}

// keys lists the keys of a TOML text, with their tables.
func keys(text []byte) ([]entry, error) {
	var p unstable.Parser
	p.Reset(text)
	var all []entry
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, _ = path(&p, nil, e)
		case unstable.KeyValue:
			full, line := path(&p, table, e)
			all = append(all, entry{full, line})
		}
	}
	return all, p.Error()
}

// path returns the parts of an expression's key behind those of its table, and the line in which it begins.
func path(p *unstable.Parser, table []string, e *unstable.Node) (parts []string, line int) {
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

// into finds the place of an entry in the site's tree and returns what puts its value there.
func (e entry) into(tree, values map[string]any) (func(), error) {
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
			// Its elements are addressed by the next part.
			if i+2 >= len(e.path) {
				return nil, errors.New("a list of tables: name the element, and a key of it")
			}
			el, err := element(next, e.path[i+1])
			if err != nil {
				return nil, err
			}
			at = map[string]any{e.path[i+1]: el}
		default:
			return nil, fmt.Errorf("the site file has no table %q", part)
		}
	}
	key := e.path[len(e.path)-1]
	was, ok := at[key]
	if !ok {
		return nil, errors.New("the site file has no such key")
	}
	if kind(was) != kind(value) || kind(value) == "" {
		return nil, fmt.Errorf("the site file has %v there", was)
	}
	return func() { at[key] = value }, nil
}

// element finds a table in a list by its name, or by its place from 1.
func element(list []any, name string) (map[string]any, error) {
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

// kind tells values apart: a figure and a range of figures are of one kind, as are a word and a choice of words.
func kind(v any) string {
	switch v := v.(type) {
	case string:
		return "text"
	case int64, float64:
		return "figure"
	case bool:
		return "switch"
	case []any:
		if len(v) > 0 {
			return kind(v[0])
		}
	}
	return ""
}
