// Package inifile decodes INI files into structs and reports all problems of a file at once, each
// with its file, line, section and key. The format is that of gopkg.in/ini.v1. This package adds
// positions, units and ranges, and rejects sections and keys that no struct declares, so that a
// misspelt key is not silently ignored.
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

// Problem is one error in a file.
type Problem struct {
	File    string
	Line    int // counted from 1; 0 or below if the problem has no line in the file
	Section string
	Key     string
	Text    string // what is wrong, without file, line, section and key
}

// Error returns the position of the problem and its text.
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

// Problems holds all problems of a file, ordered by line.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed INI file together with the problems found in it so far.
type File struct {
	name         string
	ini          *ini.File
	sectionLines map[string]int    // line of each section header; -1 if added by Set
	keyLines     map[[2]string]int // line of each section and key; -1 if added by Set
	sectionOrder []string          // section names in the order of the file
	decoded      map[string]bool   // sections passed to Decode or reported as unknown
	problems     Problems
}

// maxFileBytes is the maximum size of a file.
const maxFileBytes = 4 << 20

// Read reads and parses a file. It returns syntax errors at once; all other problems are collected
// and returned by Err.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses text as Read parses the contents of a file. The name is used in error messages only.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > maxFileBytes {
		return nil, Problems{{File: name, Text: fmt.Sprintf("file has %d bytes, the limit is %d", len(text), maxFileBytes)}}
	}
	f := &File{
		name: name, sectionLines: make(map[string]int), keyLines: make(map[[2]string]int), decoded: make(map[string]bool),
	}
	f.scan(text)
	if len(f.problems) > 0 {
		return nil, f.problems // a malformed line would cause misleading follow-up errors
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

// scan records the line numbers of sections and keys, which ini.v1 does not keep. It also reports
// what ini.v1 accepts silently: duplicate sections and keys, keys before the first section, and
// lines that are neither a section nor a key.
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
				f.addProblemAt(n, "", "", "malformed section header, want [name]")
				continue
			}
			section = strings.TrimSpace(line[1:end])
			if first, duplicate := f.sectionLines[section]; duplicate {
				f.addProblemAt(n, section, "", fmt.Sprintf("duplicate section, first defined in line %d", first))
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
			f.addProblemAt(n, "", key, "key before the first section")
		case duplicate:
			f.addProblemAt(n, section, key, fmt.Sprintf("duplicate key, first set in line %d", first))
		default:
			f.keyLines[[2]string{section, key}] = n
		}
	}
	if err := lines.Err(); err != nil {
		f.addProblemAt(0, "", "", err.Error())
	}
}

// addProblemAt records a problem at a line; 0 stands for the file as a whole.
func (f *File) addProblemAt(line int, section, key, text string) {
	f.problems = append(f.problems, Problem{f.name, line, section, key, text})
}

// AddProblem records a problem that the caller found in the value of a key or, if key is empty, in
// a section. Its line is that of the key or, if the key is absent, of the section.
func (f *File) AddProblem(section, key, format string, args ...any) {
	line := f.keyLines[[2]string{section, key}]
	if line == 0 {
		line = f.sectionLines[section]
	}
	f.addProblemAt(line, section, key, fmt.Sprintf(format, args...))
}

// HasSection reports whether the file has a section.
func (f *File) HasSection(section string) bool { return f.sectionLines[section] != 0 }

// HasKey reports whether a section has a key.
func (f *File) HasKey(section, key string) bool { return f.keyLines[[2]string{section, key}] != 0 }

// SectionNames returns, in the order of the file, the name of each section that is written
// [prefix name], without the prefix.
func (f *File) SectionNames(prefix string) []string {
	var names []string
	for _, s := range f.sectionOrder {
		if k, name, ok := strings.Cut(s, " "); ok && k == prefix {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// Err returns all problems found so far, including one for each section that was never decoded, as
// Problems. It returns nil if there are none.
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

// Set overrides a key, given as section.key=value. The section may contain a space, as in
// "class status.share=0.3". A problem with a key that the file lacks is reported without a line.
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
