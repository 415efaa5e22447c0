package queuepolicy

const (
	// maxWidth is the largest width that is told apart from wider ones. A job has at
	// most 150 tasks.
	maxWidth = 150
	// widthSamples is the number of jobs after which older ones lose half of their weight.
	widthSamples = 512
	// minWidthSamples is the number of jobs that it takes to tell the wide ones.
	minWidthSamples = 20
)

// widths is the distribution of the widths of a class's jobs.
type widths struct {
	counts    [maxWidth + 1]uint16
	total     int
	threshold int // width of the wide jobs; 0: unknown
}

func (w *widths) add(width int) {
	if w.total >= widthSamples {
		w.total = 0
		for i := range w.counts {
			w.counts[i] /= 2
			w.total += int(w.counts[i])
		}
	}
	w.counts[clampWidth(width)]++
	w.total++
	w.threshold = w.widest()
}

// widest returns the largest width that at least wideShare of the jobs reach, or 0 if
// half of the jobs do, so that none is wide for its class.
func (w *widths) widest() int {
	if w.total < minWidthSamples {
		return 0
	}
	sum := 0
	for width := maxWidth; width > 0; width-- {
		sum += int(w.counts[width])
		if float64(sum) >= wideShare*float64(w.total) {
			if 2*sum > w.total {
				return 0
			}
			return width
		}
	}
	return 0
}

func (w *widths) isWide(width int) bool { return w.threshold > 0 && clampWidth(width) >= w.threshold }

func clampWidth(width int) int { return min(max(width, 0), maxWidth) }
