package hollow

import (
	"slices"
	"time"
)

// Scenario is something that a fleet has to bear while its list of servers changes at a steady pace.
type Scenario struct {
	Name string
	What string        // in a few words
	Span time.Duration // that is counted, in virtual time
	run  func(*play)
	most float64 // part of the other members that a process can know; 0: all
}

const (
	scenarioKeepers = 5
	scenarioServers = 100
	scenarioChange  = time.Second
	// plannedProcesses is the size that the operators plan for, tableMost the members that a process knows at the most.
	plannedProcesses = 7400.0
	tableMost        = 4096
	warmUp           = 12 * time.Second
	// troubleAt is when a scenario's trouble begins, since the end of the warm-up.
	troubleAt = 5 * time.Second
	// Of 7,400 processes 1,700 are restarted and 41 fail on an ordinary day; here a day takes dayLength.
	restartsPart = 1700.0 / plannedProcesses
	failuresPart = 41.0 / plannedProcesses
	dayLength    = 60 * time.Second
	restartPause = time.Second      // between the end of a life and the next one
	repairPause  = 10 * time.Second // likewise of one that failed
	rackPart     = 0.01             // of the processes
	releasePart  = 0.1              // of the processes, restarted one after the other within releaseTime
	releaseTime  = 40 * time.Second
	burstSize    = 100 // changes within burstTime
	burstTime    = time.Second
	cutTime      = 30 * time.Second
)

// Scenarios lists what Play plays.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", What: "nothing fails", Span: 30 * time.Second, run: func(*play) {}},
		{
			Name: "partial", What: "nothing fails; a table holds 4,096 of 7,400 members, or as large a part of them", Span: 30 * time.Second,
			run: func(*play) {}, most: tableMost / plannedProcesses,
		},
		{Name: "churn", What: "an ordinary day's failures and restarts within a minute", Span: dayLength + 10*time.Second, run: (*play).churn},
		{Name: "release", What: "each tenth process is restarted, one after the other, within 40 s", Span: 55 * time.Second, run: (*play).release},
		{Name: "rack", What: "one process in a hundred fails at once", Span: 30 * time.Second, run: (*play).rack},
		{Name: "zone", What: "one zone of eight fails at once", Span: 30 * time.Second, run: (*play).zone},
		{Name: "regions", What: "one region of three is cut off for 30 s", Span: 65 * time.Second, run: (*play).regions},
		{Name: "burst", What: "100 changes within a second", Span: 20 * time.Second, run: (*play).burst},
		{Name: "keepers", What: "of five keepers one fails, 15 s later two more; all come back 20 s after that", Span: 70 * time.Second, run: (*play).loseKeepers},
	}
}

// ScenarioNamed finds a scenario; ok is false if there is none.
func ScenarioNamed(name string) (s Scenario, ok bool) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return all[i], true
}

func (y *play) churn() {
	n := float64(len(y.cluster.processes))
	spread := func(count int, do func(*process)) {
		for range count {
			y.after(time.Duration(y.cluster.draws.Int64N(int64(dayLength))), func() {
				for _, p := range y.cluster.draw(1) {
					do(p)
				}
			})
		}
	}
	spread(int(n*restartsPart+0.5), func(p *process) { y.restart(p) })
	spread(max(int(n*failuresPart+0.5), 1), func(p *process) { y.fail(p, repairPause) })
}

func (y *play) release() {
	list := y.cluster.draw(int(float64(len(y.cluster.processes)) * releasePart))
	for i, p := range list {
		y.after(troubleAt+releaseTime*time.Duration(i)/time.Duration(len(list)), func() { y.restart(p) })
	}
}

func (y *play) rack() {
	y.after(troubleAt, func() {
		for _, p := range y.cluster.draw(max(int(float64(len(y.cluster.processes))*rackPart), 1)) {
			p.kill()
		}
	})
}

func (y *play) zone() {
	y.after(troubleAt, func() {
		for _, p := range y.cluster.processes {
			if p.zone == zones-1 && !p.keeper() {
				p.kill()
			}
		}
	})
}

func (y *play) regions() {
	const far = regions - 1 // discovery is in region 0
	y.after(troubleAt, func() { y.after(cutTime, y.cluster.isolate(far)) })
}

func (y *play) burst() {
	for i := range burstSize {
		y.after(troubleAt+burstTime*time.Duration(i)/burstSize, y.change)
	}
}

func (y *play) loseKeepers() {
	keepers := y.cluster.processes[:scenarioKeepers]
	y.after(troubleAt, keepers[0].kill)
	y.after(troubleAt+15*time.Second, func() {
		keepers[1].kill()
		keepers[2].kill()
	})
	y.after(troubleAt+35*time.Second, func() {
		for _, p := range keepers {
			p.start()
		}
	})
}

// restart stops a process as planned and starts it again.
func (y *play) restart(p *process) {
	p.stop()
	y.after(stopTime+restartPause, p.start)
}

// fail kills a process and starts it again after a while.
func (y *play) fail(p *process, pause time.Duration) {
	p.kill()
	y.after(pause, p.start)
}
