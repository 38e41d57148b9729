package main

import (
	"time"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab"
)

func (a *app) decisionsCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "decisions",
		Short: "Measure the cost of a request in the decision module at 10 to 10,000 relays",
		Args:  fileArgs(0, 0),
		RunE: func(*cobra.Command, []string) error {
			list, err := lab.MeasureDecisions([]int{10, 30, 100, 300, 1000, 3000, 10000}, time.Second)
			if err != nil {
				return err
			}
			if err := lab.DecisionTable(a.out, list); err != nil {
				return err
			}
			if out == "" {
				return nil
			}
			return lab.SaveDecisions(out, list)
		},
	}
	c.Flags().StringVar(&out, "out", "", "directory for the table and the chart")
	return c
}
