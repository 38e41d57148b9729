package lab

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// rows returns the rows of a day's table: name and formatted value of each figure.
func (r *Result) rows() [][2]string {
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }
	n := strconv.Itoa
	rows := [][2]string{
		{"goal", f(r.Goal)}, {"service", f(r.Service)}, {"worst 10 s", f(r.Worst)}, {"worst 10 s begins at second", n(r.WorstAt)},
	}
	for _, c := range r.Classes {
		ms := func(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) + " ms" }
		rows = append(rows,
			[2]string{c.Name + ": service", f(c.Service)},
			[2]string{c.Name + ": set up, median", ms(c.SetUpP50)}, [2]string{c.Name + ": set up, 99 %", ms(c.SetUpP99)},
			[2]string{c.Name + ": message, median", ms(c.MessageP50)}, [2]string{c.Name + ": message, 99 %", ms(c.MessageP99)},
		)
	}
	t := &r.Clients
	return append(rows,
		[2]string{"clients", n(t.Clients)}, [2]string{"most at a time", n(r.PeakOpen)}, [2]string{"requests", n(t.Requests)},
		[2]string{"up", n(t.Up)}, [2]string{"refused", n(t.Refused)}, [2]string{"failed", n(t.Failed)},
		[2]string{"unanswered", n(t.Unanswered)}, [2]string{"connection ended unanswered", n(t.Lost)},
		[2]string{"no connection", n(t.ConnectFailures)}, [2]string{"moved", n(t.Moved)}, [2]string{"cut off", n(t.Cut)},
		[2]string{"requests crossing sites", n(t.Crossing)}, [2]string{"probes", n(t.Probes)},
		[2]string{"events", strconv.FormatUint(r.Events, 10)}, [2]string{"trace", r.Trace},
	)
}

// Title returns the title of the day: scenario and seed.
func (r *Result) Title() string { return fmt.Sprintf("%s, seed %d", r.Scenario, r.Seed) }

// Markdown writes the figures of the day as a Markdown table.
func (r *Result) Markdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n", r.Title())
	if r.About != "" {
		fmt.Fprintf(&b, "%s.\n\n", strings.ToUpper(r.About[:1])+r.About[1:])
	}
	fmt.Fprintf(&b, "%d proxies, %d relays, %g s after a warm-up of %g s.\n\n", r.Proxies, r.Relays, r.Length, r.WarmUp)
	table(&b, []string{"figure", "value"}, pairs(r.rows()))
	_, err := io.WriteString(w, b.String())
	return err
}

func pairs(rows [][2]string) [][]string {
	list := make([][]string, len(rows))
	for i := range rows {
		list[i] = rows[i][:]
	}
	return list
}

// table writes a Markdown table whose columns are padded to equal width.
func table(b *strings.Builder, header []string, rows [][]string) {
	width := make([]int, len(header))
	for _, row := range append([][]string{header}, rows...) {
		for i, cell := range row {
			width[i] = max(width[i], len([]rune(cell)))
		}
	}
	writeRow := func(row []string) {
		for i, cell := range row {
			fmt.Fprintf(b, "| %s%s ", cell, strings.Repeat(" ", width[i]-len([]rune(cell))))
		}
		b.WriteString("|\n")
	}
	writeRow(header)
	separator := make([]string, len(header))
	for i := range separator {
		separator[i] = strings.Repeat("-", width[i])
	}
	writeRow(separator)
	for _, row := range rows {
		writeRow(row)
	}
}

// CSV writes the curves of the day, one row for each second from the start of the warm-up. Column
// second is 0 where the counted time begins.
func (r *Result) CSV(w io.Writer) error {
	out := csv.NewWriter(w)
	header := []string{"second", "open", "moves"}
	for _, c := range r.Classes {
		header = append(header, "service "+c.Name)
	}
	for _, n := range r.series.relayNames {
		header = append(header, "load "+n)
	}
	for _, n := range r.series.relayNames {
		header = append(header, "connections "+n)
	}
	if err := out.Write(header); err != nil {
		return err
	}
	cell := func(list []float64, i int) string {
		if i < 0 || i >= len(list) || list[i] != list[i] {
			return ""
		}
		return strconv.FormatFloat(list[i], 'g', 5, 64)
	}
	for i := range r.series.openClients {
		counted := i - r.series.warmUpSeconds
		moves := ""
		if counted >= 0 && counted < len(r.series.moves) {
			moves = strconv.Itoa(r.series.moves[counted])
		}
		row := []string{strconv.Itoa(counted), strconv.Itoa(r.series.openClients[i]), moves}
		for c := range r.Classes {
			row = append(row, cell(r.series.service[c], counted))
		}
		for _, l := range r.series.load {
			row = append(row, cell(l, i))
		}
		for _, l := range r.series.connections {
			row = append(row, cell(l, i))
		}
		if err := out.Write(row); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// JSON writes all figures of the day as indented JSON.
func (r *Result) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
