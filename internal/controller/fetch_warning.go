package controller

import (
	"math"

	"claybarrow/internal/clusterstate"
)

// warnOfSlowFetch logs a warning, once per job class and process, if the image of a job takes longer to fetch than the
// wait objective of the job's class. A check of the settings cannot detect that: the image sizes come with the jobs,
// and the fetch rates from the cloud.
func (f *demandForecast) warnOfSlowFetch(j *clusterstate.Job) {
	class, objective := j.Spec.Class, f.views.waitObjective(j.Spec.Class)
	if objective <= 0 || f.catalog.slowFetchWarned[class] {
		return
	}
	fetchS := f.catalog.shortestFetchS(j)
	if fetchS <= objective {
		return
	}
	f.catalog.slowFetchWarned[class] = true
	f.env.log.Warn("settings: cluster.objectives: within_s is shorter than the image fetch: tasks start in time only where the image is cached",
		"class", class, "within_s", objective, "fetch_s", math.Round(fetchS*10)/10, "image_gb", j.Spec.ImageGB)
}

// shortestFetchS is the time in seconds to fetch a job's image on the machine type with the highest fetch rate among
// the types that the job may use. It is 0 if no fetch rates are known.
func (m *machineCatalog) shortestFetchS(j *clusterstate.Job) float64 {
	fastest := 0.0
	for _, t := range m.types {
		if j.Types == nil || j.Types[t.Name] {
			fastest = max(fastest, t.FetchGBPerS)
		}
	}
	if fastest <= 0 {
		return 0
	}
	return j.Spec.ImageGB / fastest
}
