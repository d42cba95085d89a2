// Scenario tests, split over several files so that they run in parallel.
import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('disk,clocks,workers'.split(','), [1, 2]);
