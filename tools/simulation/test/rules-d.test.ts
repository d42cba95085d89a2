import { rules } from '@thornsail/simulation';

rules.test('streams,urgent,closing'.split(','), [1, 2, 3]);
