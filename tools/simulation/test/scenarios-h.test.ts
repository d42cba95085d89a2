// Scenario tests, split over several files so that they run in parallel.
import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('split,burst'.split(','), [1, 2]);
