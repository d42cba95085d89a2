import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('split,burst'.split(','), [1, 2]);
