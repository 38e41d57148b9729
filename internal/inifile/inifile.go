// Package inifile reads INI files into structs and tells all that is wrong with them at once, each mistake with its file,
// line, section and key. The format is gopkg.in/ini.v1's; this package adds positions, units, ranges and the refusal of
// what nobody reads: a key that is misspelt must not be passed over in silence.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one mistake in a file.
type Problem struct {
	File    string
	Line    int // from 1; 0: the file as a whole
	Section string
	Key     string
	Text    string
}

func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems are all the mistakes of a file, in the order of its lines.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file.
type File struct {
	name         string
	ini          *ini.File
	sectionLines map[string]int    // lines
	keyLines     map[[2]string]int // by section and key
	sectionOrder []string
	decoded      map[string]bool
	problems     Problems
}

// maxFileBytes is the longest file that is read, in bytes.
const maxFileBytes = 4 << 20

// Read parses a file. A mistake in its form is an error here; all others are kept for Err.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses the text of a file with that name.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > maxFileBytes {
		return nil, Problems{{File: name, Text: fmt.Sprintf("%d bytes; at most %d are read", len(text), maxFileBytes)}}
	}
	f := &File{
		name: name, sectionLines: make(map[string]int), keyLines: make(map[[2]string]int), decoded: make(map[string]bool),
	}
	f.scan(text)
	if len(f.problems) > 0 {
		return nil, f.problems // what follows from a line that can't be read would only confuse
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, KeyValueDelimiters: "=", SpaceBeforeInlineComment: true,
	}, text)
	if err != nil {
		return nil, Problems{{File: name, Text: err.Error()}}
	}
	f.ini = parsed
	return f, nil
}

// scan finds the lines of sections and keys, which the library does not keep, and what it would pass over: a section or
// a key that stands there twice, a key before the first section, a line that is neither.
func (f *File) scan(text []byte) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxFileBytes+1)
	section := ""
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(strings.TrimPrefix(lines.Text(), "\ufeff"))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			end := strings.IndexByte(line, ']')
			if end < 0 || strings.TrimSpace(line[1:end]) == "" {
				f.addProblemAt(n, "", "", "a section is written [name]")
				continue
			}
			section = strings.TrimSpace(line[1:end])
			if first, duplicate := f.sectionLines[section]; duplicate {
				f.addProblemAt(n, section, "", fmt.Sprintf("the section stands in line %d already", first))
				continue
			}
			f.sectionLines[section] = n
			f.sectionOrder = append(f.sectionOrder, section)
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		switch first, duplicate := f.keyLines[[2]string{section, key}]; {
		case !ok || key == "":
			f.addProblemAt(n, section, "", fmt.Sprintf("%.60q is neither [section] nor key = value", line))
		case section == "":
			f.addProblemAt(n, "", key, "a key needs a section before it")
		case duplicate:
			f.addProblemAt(n, section, key, fmt.Sprintf("the key stands in line %d already", first))
		default:
			f.keyLines[[2]string{section, key}] = n
		}
	}
	if err := lines.Err(); err != nil {
		f.addProblemAt(0, "", "", err.Error())
	}
}

func (f *File) addProblemAt(line int, section, key, text string) {
	f.problems = append(f.problems, Problem{f.name, line, section, key, text})
}

// AddProblem takes down a mistake that the caller found in a key's value, or with an empty key in a section.
func (f *File) AddProblem(section, key, format string, args ...any) {
	line := f.keyLines[[2]string{section, key}]
	if line == 0 {
		line = f.sectionLines[section]
	}
	f.addProblemAt(line, section, key, fmt.Sprintf(format, args...))
}

// HasSection tells whether the file has a section.
func (f *File) HasSection(section string) bool { return f.sectionLines[section] != 0 }

// HasKey tells whether a section has a key.
func (f *File) HasKey(section, key string) bool { return f.keyLines[[2]string{section, key}] != 0 }

// SectionNames returns the sections that are written [kind name], in the file's order: their names, without the kind.
func (f *File) SectionNames(prefix string) []string {
	var names []string
	for _, s := range f.sectionOrder {
		if k, name, ok := strings.Cut(s, " "); ok && k == prefix {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// Err returns all mistakes so far, also each section that nothing has read; nil if there are none.
func (f *File) Err() error {
	for _, s := range f.sectionOrder {
		if !f.decoded[s] {
			f.decoded[s] = true
			f.AddProblem(s, "", "unknown section")
		}
	}
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return a.Line - b.Line })
	return f.problems
}

// Set changes a key, given as section.key=value; the section may have a space, as in "class status.share=0.3". What is
// said of it then names the line of the section, or none.
func (f *File) Set(assignment string) error {
	name, value, ok := strings.Cut(assignment, "=")
	dot := strings.LastIndexByte(name, '.')
	if !ok || dot <= 0 || dot == len(name)-1 {
		return fmt.Errorf("%q is not section.key=value", assignment)
	}
	section, key := strings.TrimSpace(name[:dot]), strings.TrimSpace(name[dot+1:])
	f.ini.Section(section).Key(key).SetValue(strings.TrimSpace(value))
	if f.sectionLines[section] == 0 {
		f.sectionOrder = append(f.sectionOrder, section)
		f.sectionLines[section] = -1
	}
	if f.keyLines[[2]string{section, key}] == 0 {
		f.keyLines[[2]string{section, key}] = -1
	}
	return nil
}
