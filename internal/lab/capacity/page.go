package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"ospreyspan/internal/lab"
)

// A page has its derived tables between a line "<!-- table: NAME -->" and the next "<!-- end -->".
const (
	tableMark    = "<!-- table: "
	tableMarkEnd = " -->\n"
	endMark      = "<!-- end -->"
)

// markedTable is one marked table: its name, and where its text lies in the page.
type markedTable struct {
	name     string
	from, to int
}

// markedTables returns a page's marked tables in order. A mark that is not closed ends the list.
func markedTables(text string) []markedTable {
	var list []markedTable
	for at := 0; ; {
		mark := strings.Index(text[at:], tableMark)
		if mark < 0 {
			return list
		}
		begin := at + mark + len(tableMark)
		name := strings.Index(text[begin:], tableMarkEnd)
		if name < 0 {
			return list
		}
		from := begin + name + len(tableMarkEnd)
		end := strings.Index(text[from:], endMark)
		if end < 0 {
			return list
		}
		list = append(list, markedTable{text[begin : begin+name], from, from + end})
		at = from + end
	}
}

// ErrPage is returned for a page whose tables are not what the slopes give.
var ErrPage = errors.New("capacity: page and slopes differ")

// CheckPage tells the first marked table that is not what the slopes give, or that is missing.
func CheckPage(text string, s *Slopes) error {
	tables, err := s.Tables()
	if err != nil {
		return err
	}
	return checkTables(text, tables)
}

func checkTables(text string, tables map[string]string) error {
	missing := maps.Clone(tables)
	for _, marked := range markedTables(text) {
		name, has := marked.name, text[marked.from:marked.to]
		want, known := missing[name]
		if !known {
			return fmt.Errorf("%w: table %q is none, or stands twice", ErrPage, name)
		}
		if has != want {
			return fmt.Errorf("%w: table %q: %s", ErrPage, name, firstDifference(has, want))
		}
		delete(missing, name)
	}
	for name := range missing {
		return fmt.Errorf("%w: table %q is missing", ErrPage, name)
	}
	return nil
}

func firstDifference(has, want string) string {
	hasLines, wantLines := strings.Split(has, "\n"), strings.Split(want, "\n")
	for i, line := range wantLines {
		if i >= len(hasLines) || hasLines[i] != line {
			return fmt.Sprintf("line %d is not %q", i+1, line)
		}
	}
	return "it has more lines"
}

// RewriteText writes the marked tables of a page anew.
func RewriteText(text string, s *Slopes) (string, error) {
	tables, err := s.Tables()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	at := 0
	for _, marked := range markedTables(text) {
		table, known := tables[marked.name]
		if !known {
			return "", fmt.Errorf("%w: there is no table %q", ErrPage, marked.name)
		}
		b.WriteString(text[at:marked.from] + table)
		at = marked.to
	}
	return b.String() + text[at:], nil
}

// RewritePage writes the marked tables of a page's file anew from the slopes.
func RewritePage(path string, s *Slopes) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	fresh, err := RewriteText(string(text), s)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(fresh), 0o644)
}

// Tables returns all marked tables by name.
func (s *Slopes) Tables() (map[string]string, error) {
	tables := map[string]string{
		"fits":       lab.MarkdownTable(FitHead(), s.Rows(inUse)),
		"arithmetic": arithmeticTable(),
		"commands":   s.commandTable(),
	}
	byTable := make(map[string][][]string)
	var over []needed
	for _, row := range Rows() {
		n, cells, err := s.row(&row)
		if err != nil {
			return nil, err
		}
		byTable[row.Table] = append(byTable[row.Table], cells)
		over = append(over, n)
	}
	for name, rows := range byTable {
		head := []string{"row", "need at the planned size", "95 %", "unit", "slope ± 95 %, of", "reach", "budget", "need/budget", "command", "carried by"}
		tables[name] = lab.MarkdownTable(head, rows)
	}
	var bounds [][]string
	for _, b := range Bounds() {
		n, cells, err := s.bound(&b)
		if err != nil {
			return nil, err
		}
		bounds = append(bounds, cells)
		over = append(over, n)
	}
	tables["bounds"] = lab.MarkdownTable([]string{"row", "need", "bound", "need/bound", "where"}, bounds)
	tables["over-budget"] = overTable(over)
	return tables, nil
}

// inUse tells whether a row or bound of the page is made of a series.
func inUse(k Key) bool {
	has := func(terms []Term) bool {
		return slices.ContainsFunc(terms, func(t Term) bool { return t.Key == k })
	}
	return slices.ContainsFunc(Rows(), func(r Row) bool { return has(r.Terms) }) ||
		slices.ContainsFunc(Bounds(), func(b Bound) bool { return has(b.Terms) })
}

func arithmeticTable() string {
	var rows [][]string
	for _, q := range arithmetic() {
		rows = append(rows, []string{q.what, Figure(q.value)})
	}
	return lab.MarkdownTable([]string{"at the planned size", "figure"}, rows)
}

// commands are all that gave points, in the order of their letters.
func (s *Slopes) commands() []string {
	var list []string
	for _, x := range s.Series {
		list = append(list, x.Command)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (s *Slopes) letter(command string) string {
	return string(rune('a' + slices.Index(s.commands(), command)))
}

func (s *Slopes) commandTable() string {
	var rows [][]string
	for _, c := range s.commands() {
		rows = append(rows, []string{s.letter(c), "`" + c + "`"})
	}
	return lab.MarkdownTable([]string{"", "command"}, rows)
}

// needed is what a row or bound needs, for the list of those over budget.
type needed struct {
	id, role, what, remedy string
	ratio, high            float64 // of the need, and of the upper end of its interval; 0: no budget or not measured
}

// sum adds the terms' estimates. Their intervals are added as well: the errors need not be independent.
func (s *Slopes) sum(terms []Term) (e Estimate, reach float64, missing *Key, err error) {
	for _, t := range terms {
		x := s.Find(t.Key)
		if x == nil {
			return Estimate{}, 0, &t.Key, nil
		}
		f, err := x.Fit()
		if err != nil {
			return Estimate{}, 0, nil, err
		}
		at := f.At(t.Size)
		low, high := at.Low, at.High
		if t.Times < 0 {
			low, high = high, low
		}
		e = Estimate{e.Value + t.Times*at.Value, e.Low + t.Times*low, e.High + t.Times*high}
		reach = max(reach, f.Reach(t.Size))
	}
	return e, reach, nil, nil
}

// notMeasured stands where a row has no figure.
const notMeasured = "not measured"

func (s *Slopes) row(r *Row) (needed, []string, error) {
	n := needed{id: r.ID, role: r.Role, what: r.What, remedy: r.Remedy}
	name := r.ID + ": " + r.What
	carried := "**no mechanism**"
	if r.Mechanism != "" {
		carried = fmt.Sprintf("%s, `%s`", r.Mechanism, r.File)
	}
	budget := "–"
	if r.Budget > 0 {
		budget = Exact(r.Budget)
	}
	e, reach, missing, err := s.sum(r.Terms)
	if err != nil {
		return n, nil, err
	}
	if len(r.Terms) == 0 || missing != nil {
		return n, []string{name, notMeasured, "–", r.Unit, "–", "–", budget, "–", "–", carried}, nil
	}
	ratio := "–"
	if r.Budget > 0 {
		n.ratio, n.high = e.Value/r.Budget, e.High/r.Budget
		ratio = Figure(n.ratio)
		if n.ratio > 1 {
			ratio = "**" + ratio + "**"
		}
	}
	var slopes, commands []string
	for _, t := range r.Terms {
		x := s.Find(t.Key)
		slopes = append(slopes, fmt.Sprintf("%s ± %s %s, by %s%s", Figure(x.Slope), Figure(x.SlopeError), x.Unit, x.Driver, warningMark(x)))
		commands = append(commands, s.letter(x.Command))
	}
	return n, []string{
		name, Figure(e.Value), fmt.Sprintf("%s to %s", Figure(e.Low), Figure(e.High)), r.Unit, strings.Join(slopes, "; "), reachText(reach),
		budget, ratio, strings.Join(slices.Compact(commands), ", "), carried,
	}, nil
}

func warningMark(x *Series) string {
	if w := x.warning(); w != "" {
		return " (" + w + ")"
	}
	return ""
}

// reachText is how many times the planned size is the largest measured one, marked where that is far.
func reachText(reach float64) string {
	text := Figure(reach) + "×"
	if reach > farExtrapolation {
		return "**" + text + "** †"
	}
	return text
}

func (s *Slopes) bound(b *Bound) (needed, []string, error) {
	n := needed{id: b.ID, role: "bound", what: b.What, remedy: b.Remedy}
	e, _, missing, err := s.sum(b.Terms)
	if err != nil {
		return n, nil, err
	}
	where := "machine"
	if b.File != "" {
		where = fmt.Sprintf("`%s`, `%s`", b.Text, b.File)
	}
	name := b.ID + ": " + b.What
	if missing != nil {
		return n, []string{name, notMeasured, Exact(b.Bound), "–", where}, nil
	}
	need := b.Need + e.Value
	n.ratio, n.high = need/b.Bound, (b.Need+e.High)/b.Bound
	ratio := Figure(n.ratio)
	if n.ratio > 1 {
		ratio = "**" + ratio + "**"
	}
	return n, []string{name, Figure(need), Exact(b.Bound), ratio, where}, nil
}

// overTable lists what is over its budget or bound, worst first; what only the interval's upper end takes there comes last.
func overTable(all []needed) string {
	all = slices.DeleteFunc(all, func(n needed) bool { return n.high <= 1 })
	slices.SortStableFunc(all, func(a, b needed) int {
		return cmp.Or(-cmp.Compare(strconv.FormatBool(a.ratio > 1), strconv.FormatBool(b.ratio > 1)), -cmp.Compare(a.ratio, b.ratio))
	})
	var rows [][]string
	for _, n := range all {
		ratio := Figure(n.ratio)
		if n.ratio <= 1 {
			ratio += ", up to " + Figure(n.high)
		}
		rows = append(rows, []string{n.id, n.role, n.what, ratio, n.remedy})
	}
	return lab.MarkdownTable([]string{"row", "who", "what", "need/budget", "what it would take"}, rows)
}
