import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('rolling,random'.split(','), [1, 2, 3]);
