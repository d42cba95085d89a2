import { rules } from '@thornsail/simulation';

rules.test('disk,clocks,workers'.split(','), [1, 2]);
